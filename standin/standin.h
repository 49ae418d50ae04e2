/**
 * @file
 * Base of all stand-ins: listener, faults, record and counters.
 */
#ifndef EG_STANDIN_STANDIN_H
#define EG_STANDIN_STANDIN_H

#include <jansson.h>

#include "base/decls.h"
#include "standin/exchange.h"
#include "standin/faults.h"
#include "standin/listener.h"

EG_BEGIN_DECLS

/** Operations of a kind of stand-in; their context is the stand-in. */
struct eg_standin_ops
{
  enum eg_standin_kind kind;
  const char *name;
  void (*handle) (void *context, struct eg_server_exchange *exchange);
  enum eg_status (*apply_fault) (void *context,
                                 const struct eg_fault *fault,
                                 struct eg_error *error);
  enum eg_status (*clear_faults) (void *context, struct eg_error *error);
  void (*write_record) (void *context, struct eg_server_exchange *exchange);
  void (*clear_record) (void *context);
  json_t *(*counts) (void *context);
};

/** Base of a stand-in. */
struct eg_standin
{
  const struct eg_standin_ops *ops;
  void *context;
  struct eg_listener listener;
};

/** Initializes a stand-in without opening its listener. */
void eg_standin_init (struct eg_standin *self,
                      const struct eg_standin_ops *ops,
                      void *context,
                      const char *address,
                      int64_t threads);

/** Handles calls on `faults`, `record` and `counts`; otherwise sends 404. */
void eg_standin_control (struct eg_standin *self,
                         const char *subject,
                         struct eg_server_exchange *exchange);

EG_END_DECLS

#endif
