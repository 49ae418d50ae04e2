/**
 * @file
 * Intrusive doubly linked lists.
 */
#ifndef EG_BASE_LIST_H
#define EG_BASE_LIST_H

#include <stdbool.h>
#include <stddef.h>

#include "base/decls.h"

EG_BEGIN_DECLS

/** Returns the struct @p type whose field @p member is at @p pointer. */
#define EG_CONTAINER_OF(pointer, type, member)                                 \
  ((type *) (void *) ((char *) (pointer) -offsetof (type, member)))

/** A list link, or a list head; the head of an empty list points to itself. */
struct eg_list
{
  struct eg_list *next;
  struct eg_list *prev;
};

/** Initialises an empty list. */
static inline void
eg_list_init (struct eg_list *head)
{
  head->next = head;
  head->prev = head;
}

static inline bool
eg_list_is_empty (const struct eg_list *head)
{
  return head->next == head;
}

/** Inserts @p link before @p position; at the end if that is the list head. */
static inline void
eg_list_append (struct eg_list *position, struct eg_list *link)
{
  link->next = position;
  link->prev = position->prev;
  position->prev->next = link;
  position->prev = link;
}

/** Inserts @p link at the start of the list. */
static inline void
eg_list_prepend (struct eg_list *head, struct eg_list *link)
{
  eg_list_append (head->next, link);
}

/** Removes and returns the first link, or NULL if the list is empty. */
static inline struct eg_list *
eg_list_pop_front (struct eg_list *head)
{
  struct eg_list *link = head->next;

  if (link == head)
    return NULL;
  head->next = link->next;
  link->next->prev = head;
  return link;
}

/** Removes @p link from its list. */
static inline void
eg_list_remove (struct eg_list *link)
{
  link->prev->next = link->next;
  link->next->prev = link->prev;
}

EG_END_DECLS

#endif
