/**
 * @file
 * The faults that can be asked of a stand-in.
 */
#ifndef EG_STANDIN_FAULTS_H
#define EG_STANDIN_FAULTS_H

#include <jansson.h>

#include "base/decls.h"
#include "base/status.h"

EG_BEGIN_DECLS

/** Which stand-ins know a fault; a set of bits. */
enum eg_standin_kind
{
  EG_STANDIN_ENGINE = 1,
  EG_STANDIN_SERVICE = 2,
  EG_STANDIN_PLATFORM = 4,
};

/** What goes wrong. */
enum eg_fault_kind
{
  EG_FAULT_DIE,
  EG_FAULT_REVIVE,
  EG_FAULT_HANG,
  EG_FAULT_SLOW,
  EG_FAULT_LOAD_LAG,
  EG_FAULT_DRAIN,
  EG_FAULT_CRASH_ON,
  EG_FAULT_LOSE_REPLY,
  EG_FAULT_DOWN,
  EG_FAULT_SILENT,
  EG_FAULT_VMS,
};

/** One fault, with what its kind takes. */
struct eg_fault
{
  enum eg_fault_kind kind;
  int64_t after_tokens; /**< -1: at once. */
  int64_t count;
  int64_t ms;
  double factor;
  const char *prompt; /**< Borrowed from the object that was read. */
  json_t *vms;        /**< Borrowed likewise. */
};

/** Reads `{"fault": NAME, ...}` for a stand-in of kind @p kind. */
enum eg_status eg_fault_read (struct eg_fault *self,
                              const json_t *object,
                              enum eg_standin_kind kind,
                              struct eg_error *error);

EG_END_DECLS

#endif
