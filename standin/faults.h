/**
 * @file
 * Faults that can be injected into a stand-in.
 */
#ifndef EG_STANDIN_FAULTS_H
#define EG_STANDIN_FAULTS_H

#include <jansson.h>

#include "base/decls.h"
#include "base/status.h"

EG_BEGIN_DECLS

/** Kinds of stand-ins, as bits of a set. */
enum eg_standin_kind
{
  EG_STANDIN_ENGINE = 1,
  EG_STANDIN_SERVICE = 2,
  EG_STANDIN_PLATFORM = 4,
};

/** Kinds of faults. */
enum eg_fault_kind
{
  EG_FAULT_DIE,
  EG_FAULT_REVIVE,
  EG_FAULT_HANG,
  EG_FAULT_SLOW,
  EG_FAULT_LOAD_LAG,
  EG_FAULT_DRAIN,
  EG_FAULT_CRASH_ON,   /**< Crashes on a request with a given prompt. */
  EG_FAULT_LOSE_REPLY, /**< Drops the response to an executed call or write. */
  EG_FAULT_DOWN,       /**< Responds to every request with 503. */
  EG_FAULT_SILENT,     /**< Accepts requests without responding. */
  EG_FAULT_VMS,        /**< Replaces the VM list. */
};

/** A fault with the parameters of its kind. */
struct eg_fault
{
  enum eg_fault_kind kind;
  int64_t after_tokens; /**< Before a crash; -1: at once. */
  int64_t count;
  int64_t ms;
  double factor;
  const char *prompt; /**< Borrowed from the parsed object. */
  json_t *vms;        /**< Borrowed from the parsed object. */
};

/**
 * Parses `{"fault": NAME, ...}` for a stand-in of kind @p kind.
 * @return EG_OK, or EG_INVALID with the field at fault.
 */
enum eg_status eg_fault_read (struct eg_fault *self,
                              const json_t *object,
                              enum eg_standin_kind kind,
                              struct eg_error *error);

EG_END_DECLS

#endif
