/**
 * @file
 * The types of value that rules take, with their units and text form.
 */
#ifndef EG_POLICY_RULE_VALUE_H
#define EG_POLICY_RULE_VALUE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/decls.h"
#include "base/str.h"

EG_BEGIN_DECLS

/** The types. */
enum eg_rule_type
{
  EG_RULE_NAME,     /**< 1 to 63 letters, digits, '-', '_', '.'; or '*'. */
  EG_RULE_ADDRESS,  /**< `IP:PORT`. */
  EG_RULE_PATH,     /**< Starts with '/'. */
  EG_RULE_INTEGER,  /**< A whole number. */
  EG_RULE_FRACTION, /**< A decimal number from 0 to 1. */
  EG_RULE_RATE,     /**< A decimal number and "/s". */
  EG_RULE_DURATION, /**< A whole number and "us", "ms", "s", "m" or "h". */
  EG_RULE_BOOLEAN,  /**< "yes" or "no". */
  EG_RULE_LAYERS,   /**< `FIRST-LAST`, from 1. */
  EG_RULE_HEX,      /**< 1 to 16 hexadecimal digits. */
  EG_RULE_TYPE_COUNT
};

/** One value; which member counts follows from its type. */
struct eg_rule_value
{
  bool given;
  struct eg_str text; /**< As written; into the text of the rules. */
  int64_t integer;    /**< INTEGER; DURATION in microseconds; YES_NO as 0, 1. */
  double number;      /**< SHARE; RATE in 1/s. */
  uint64_t bits;      /**< HEX. */
  uint32_t first;     /**< LAYERS. */
  uint32_t last;
};

/** Reads @p text as a value of @p type; false if it does not fit. */
bool eg_rule_value_parse (enum eg_rule_type type,
                          struct eg_str text,
                          struct eg_rule_value *value);

/** Says what a value of @p type looks like, such as "a duration (30s)". */
const char *eg_rule_type_expected (enum eg_rule_type type);

EG_END_DECLS

#endif
