/**
 * @file
 * Messages handled by the decision thread.
 */
#ifndef EG_ROUTER_MESSAGE_H
#define EG_ROUTER_MESSAGE_H

#include <semaphore.h>

#include "backend/event.h"
#include "platform/worker.h"
#include "policy/peer_message.h"
#include "router/call.h"
#include "router/decision.h"

/** Type of a message. */
enum eg_message_kind
{
  EG_MESSAGE_CALL,     /**< A new request. */
  EG_MESSAGE_ABANDON,  /**< A client disconnected. */
  EG_MESSAGE_BACKEND,  /**< An event of the backend worker. */
  EG_MESSAGE_PLATFORM, /**< A reply of the platform. */
  EG_MESSAGE_QUERY,    /**< A query, for example by the operators' listener. */
  EG_MESSAGE_EDIT,     /**< An edit of the rules. */
  EG_MESSAGE_PEER,     /**< A message from another entry VM. */
  EG_MESSAGE_STOP,     /**< A planned stop begins. */
  EG_MESSAGE_COUNT
};

/** A query that another thread waits for. */
struct eg_query
{
  void (*callback) (void *context, const struct eg_decision_view *view);
  void *context;
  sem_t answered;
};

/** An edit that another thread waits for. */
struct eg_edit_request
{
  struct eg_ruleset_edit edit;
  struct eg_ruleset_result result;
  sem_t answered;
};

/** A message. */
struct eg_message
{
  enum eg_message_kind kind;
  union
  {
    struct eg_call *call; /**< CALL and ABANDON; owns a reference. */
    struct eg_backend_event *backend;
    struct eg_platform_reply *platform;
    struct eg_peer_message *peer;
    struct eg_edit_request *edit; /**< Owned by the waiting thread. */
    struct eg_query *query;       /**< Owned by the waiting thread. */
  };
};

#endif
