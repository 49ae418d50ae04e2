/**
 * @file
 * What all stand-ins share: a listener, faults, a record and counts.
 */
#ifndef EG_STANDIN_STANDIN_H
#define EG_STANDIN_STANDIN_H

#include <jansson.h>

#include "base/decls.h"
#include "standin/exchange.h"
#include "standin/faults.h"
#include "standin/listener.h"

EG_BEGIN_DECLS

/** How a kind of stand-in answers; @c context is the stand-in itself. */
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

/** The shared part of a stand-in. */
struct eg_standin
{
  const struct eg_standin_ops *ops;
  void *context;
  struct eg_listener listener;
};

/** Prepares a stand-in without opening its listener. */
void eg_standin_init (struct eg_standin *self,
                      const struct eg_standin_ops *ops,
                      void *context,
                      const char *address,
                      int64_t threads);

/** Answers `faults`, `record` and `counts`; 404 for another @p subject. */
void eg_standin_control (struct eg_standin *self,
                         const char *subject,
                         struct eg_server_exchange *exchange);

EG_END_DECLS

#endif
