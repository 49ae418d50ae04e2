/* Two entry VMs and the stand-ins for the platform, the engines and a service,
   all in this process. */
#ifndef EG_TEST_PATH_FIXTURE_H
#define EG_TEST_PATH_FIXTURE_H

#include <jansson.h>

#include "base/buffer.h"
#include "router/callers.h"
#include "router/operators.h"
#include "standin/host.h"

/* First digits of all ports; several checkouts can be tested at once if each
   has its own. */
#ifndef EG_TEST_PORTS
#define EG_TEST_PORTS "178"
#endif
#define EG_TEST_HOST "127.0.0.1:" EG_TEST_PORTS
#define CALLERS EG_TEST_HOST "01"
#define OPERATORS EG_TEST_HOST "02"
#define OTHER_CALLERS EG_TEST_HOST "03"
#define OTHER_OPERATORS EG_TEST_HOST "04"
#define PLATFORM EG_TEST_HOST "00"
#define ADMIN EG_TEST_HOST "99"
#define SERVICE EG_TEST_HOST "21"

struct path_node
{
  struct eg_router_settings settings;
  struct eg_decision *decision;
  struct eg_callers *callers;
  struct eg_operators *operators;
};

struct path_fixture
{
  struct eg_host *host;
  struct path_node node;  /* In failure domain a. */
  struct path_node other; /* In failure domain b. */
};

/* An HTTP answer. */
struct path_answer
{
  long status;
  struct eg_buffer body;
};

/* Starts everything and waits until the nodes can use each backend server. */
void path_fixture_init (struct path_fixture *self);
void path_fixture_finish (struct path_fixture *self);

/* Sends a request; headers end with NULL, body may be NULL. */
void path_call (const char *method,
                const char *url,
                const char *const *headers,
                const char *body,
                struct path_answer *answer);
void path_answer_finish (struct path_answer *answer);

/* Injects a fault into the stand-in at an address, or removes all of them. */
void path_inject_fault (const char *address, const char *fault);
void path_clear_faults (const char *address);

/* Returns the runs recorded by a stand-in, as a new reference. */
json_t *path_runs (const char *address);

/* Returns the orders executed by the engine at an address. */
json_t *path_orders (const char *address);

/* Sends raw bytes over TCP and reads the answer. */
void
path_send_raw (const char *bytes, bool half_close, struct eg_buffer *answer);

#endif
