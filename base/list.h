/**
 * @file
 * Doubly linked lists through links that the caller embeds in its own structs.
 */
#ifndef EG_BASE_LIST_H
#define EG_BASE_LIST_H

#include <stdbool.h>
#include <stddef.h>

#include "base/decls.h"

EG_BEGIN_DECLS

/** Returns the struct of @p type whose @p member is at @p pointer. */
#define EG_CONTAINER_OF(pointer, type, member)                                 \
  ((type *) (void *) ((char *) (pointer) -offsetof (type, member)))

/** A link, or the head of a list; an empty list's head points to itself. */
struct eg_list
{
  struct eg_list *next;
  struct eg_list *prev;
};

/** Makes an empty list. */
static inline void
eg_list_init (struct eg_list *head)
{
  head->next = head;
  head->prev = head;
}

/** Tells whether nothing is in the list. */
static inline bool
eg_list_is_empty (const struct eg_list *head)
{
  return head->next == head;
}

/** Puts @p link before @p position, which is the end if it is the head. */
static inline void
eg_list_append (struct eg_list *position, struct eg_list *link)
{
  link->next = position;
  link->prev = position->prev;
  position->prev->next = link;
  position->prev = link;
}

/** Puts @p link at the start of the list. */
static inline void
eg_list_prepend (struct eg_list *head, struct eg_list *link)
{
  eg_list_append (head->next, link);
}

/** Takes the first link out of the list and returns it; NULL if empty. */
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

/** Takes @p link out of its list. */
static inline void
eg_list_remove (struct eg_list *link)
{
  link->prev->next = link->next;
  link->next->prev = link->prev;
}

EG_END_DECLS

#endif
