/**
 * @file
 * Splits JSON text into the members of an object or the elements of an array
 * without decoding them, so that one that cannot be decoded does not affect the
 * others.
 *
 * Only the structure is checked: brackets, separators and quotes. Strings,
 * numbers and literals are left to the decoder. All results are slices of the
 * text; nothing is allocated.
 */
#ifndef EG_HTTP_JSON_SPLITTER_H
#define EG_HTTP_JSON_SPLITTER_H

#include <stdbool.h>

#include "base/decls.h"
#include "base/str.h"

EG_BEGIN_DECLS

/** Nesting depth of a value from which on it is invalid. */
#define EG_JSON_SPLITTER_DEPTH_MAX 64

/** Position in the text of an object or an array; allocated by the caller. */
struct eg_json_splitter
{
  struct eg_str rest; /**< Text that follows. */
  char close;         /**< Bracket that ends the object or array. */
  bool separated;     /**< No comma is expected before the next item. */
  bool complete;      /**< The closing bracket was read. */
  /** Keys that the elements begin with; see eg_json_splitter_next_element(). */
  const struct eg_str *keys;
  size_t key_count;
  struct eg_str first_key; /**< That the first element begins with. */
};

/** Result of eg_json_splitter_next(). */
enum eg_json_split
{
  EG_JSON_SPLIT_ITEM,  /**< The rest of the text begins with a value. */
  EG_JSON_SPLIT_END,   /**< The closing bracket was read. */
  EG_JSON_SPLIT_FAULT, /**< The structure is invalid. */
};

/** Starts at an object or an array; false if @p text begins with neither. */
bool eg_json_splitter_open (struct eg_json_splitter *self, struct eg_str text);

/**
 * Moves to the next value.
 * @param key receives the member's key without quotes and with its escapes; for
 *            an array, an empty string.
 */
enum eg_json_split eg_json_splitter_next (struct eg_json_splitter *self,
                                          struct eg_str *key);

/**
 * Takes the value that the rest of the text begins with.
 * @return false if its structure is invalid or too deep; @p value is then all
 *         of the rest, which is not consumed.
 */
bool eg_json_splitter_take (struct eg_json_splitter *self,
                            struct eg_str *value);

/**
 * Starts at an array of objects, for eg_json_splitter_next_element().
 * @param keys keys that elements begin with; the key that the first element
 *             begins with is recognised as well. Must outlive the splitter.
 */
bool eg_json_splitter_open_array (struct eg_json_splitter *self,
                                  struct eg_str text,
                                  const struct eg_str *keys,
                                  size_t key_count);

/**
 * Returns the next element of an array of objects. After an element with an
 * invalid structure, such as one that ends too early, it continues with the
 * next text that looks like the beginning of an element.
 * @param intact receives false if the structure of @p element is invalid.
 * @return false at the end of the array; @c complete tells whether the closing
 *         bracket was found.
 */
bool eg_json_splitter_next_element (struct eg_json_splitter *self,
                                    struct eg_str *element,
                                    bool *intact);

/**
 * Finds the last member named @p key of the object that @p text begins with.
 * @param value receives its value; if the structure of that is invalid, all of
 *              the text from there on.
 * @param intact receives whether the structure of @p value is valid.
 */
bool eg_json_find_member (struct eg_str text,
                          struct eg_str key,
                          struct eg_str *value,
                          bool *intact);

EG_END_DECLS

#endif
