#include <arpa/inet.h>
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "base/clock.h"
#include "test/soak/soak.h"

#define REQUEST_TIMEOUT_US (9 * EG_US_PER_S)
#define PAUSE_MS_MAX 60
/* After calm begins all has this long to recover: what the users allow. */
#define RECOVERY_US (6 * EG_US_PER_S)
/* A planned stop is judged where nothing else befell the daemon for so long. */
#define UNHARMED_US (3 * EG_US_PER_S)

static void send_next (uv_timer_t *timer);

static json_int_t
runs_of (const struct soak_client *self)
{
  return json_integer_value (json_object_get (self->soak->runs, self->id));
}

static void
finish (struct soak_client *self, bool good)
{
  struct soak *soak = self->soak;

  soak->good += good;
  if (self->sent_us > soak->calm_us + RECOVERY_US)
    {
      soak->calm_sent++;
      soak->calm_good += good;
    }
  if (self->kind == SOAK_WRITE && runs_of (self) > 1)
    soak_violation (soak, "request %s ran %d times", self->id,
                    (int) runs_of (self));
  if (!soak->over)
    uv_timer_start (&self->timer, send_next,
                    eg_random_below (&soak->random, PAUSE_MS_MAX), 0);
}

static enum eg_exchange_verdict
on_head (void *context, const struct eg_http_head *head)
{
  struct soak_client *self = context;
  struct eg_str echo = eg_http_head_find (head, "x-attempt-id");

  self->status = head->status;
  self->sealed = eg_http_head_find (head, "x-server-seal").len > 0;
  if (echo.len > 0 && !eg_str_equal (echo, eg_str_from (self->id)))
    soak_violation (self->soak, "request %s got the answer to %.*s", self->id,
                    EG_STR_ARGS (echo));
  return EG_EXCHANGE_ACCEPT;
}

static void
on_body (void *context, struct eg_str bytes)
{
  struct soak_client *self = context;
  struct eg_buffer events = {0};

  if (self->kind == SOAK_STREAM && self->status == 200)
    {
      if (eg_event_relay_feed (&self->relay, bytes, &events) != EG_RELAY_OK)
        soak_violation (self->soak, "stream %s is out of order behind %s",
                        self->id, self->relay.last_id);
      eg_buffer_finish (&events);
    }
  else
    eg_buffer_append (&self->body, bytes);
}

static void
check_success (struct soak_client *self)
{
  char expected[64];

  if (!self->sealed)
    soak_violation (self->soak, "request %s has no signature", self->id);
  if (self->kind == SOAK_STREAM)
    {
      if (self->relay.events != SOAK_EVENTS)
        soak_violation (self->soak,
                        "stream %s is complete with %" PRIu64 " events",
                        self->id, self->relay.events);
      return;
    }
  soak_expected_body (self->id, expected, sizeof expected);
  if (!eg_str_equal (eg_buffer_view (&self->body), eg_str_from (expected)))
    soak_violation (self->soak, "request %s has a wrong body", self->id);
}

static void
on_done (void *context)
{
  struct soak_client *self = context;

  if (self->status == 200)
    check_success (self);
  else if (self->status == 401 || self->status == 404)
    soak_violation (self->soak, "request %s was denied: %u", self->id,
                    self->status);
  else if (self->kind == SOAK_WRITE
           && (self->status == 503 || self->status == 429))
    json_array_append_new (self->soak->promised, json_string (self->id));
  finish (self, self->status == 200);
}

static bool
was_cut_by_stop (const struct soak_client *self)
{
  const struct soak_node *node = self->node;
  int64_t judged_us = self->sent_us - UNHARMED_US;

  return node->term_us > 0 && node->harmed_us < judged_us
         && node->started_us < judged_us
         && self->soak->servers_harmed_us < judged_us && runs_of (self) > 0;
}

static void
on_failed (void *context, enum eg_exchange_fault fault)
{
  struct soak_client *self = context;

  if (was_cut_by_stop (self))
    soak_violation (self->soak, "a planned stop cut request %s: %s", self->id,
                    eg_exchange_fault_name (fault));
  finish (self, false);
}

static const struct eg_exchange_events events = {on_head, on_body, on_done,
                                                 on_failed};

static void
on_timeout (uv_timer_t *timer)
{
  struct soak_client *self = timer->data;

  eg_exchange_cancel (&self->exchange);
  finish (self, false);
}

static void
send_next (uv_timer_t *timer)
{
  static const char *const lines[] = {[SOAK_READ] = "GET /read/x",
                                      [SOAK_WRITE] = "POST /write/x",
                                      [SOAK_STREAM] = "POST /stream/x"};
  struct soak_client *self = timer->data;
  struct soak *soak = self->soak;
  struct eg_exchange_request request;
  char head[512];

  self->node = &soak->nodes[eg_random_below (&soak->random, SOAK_NODES)];
  self->kind = (enum soak_kind) eg_random_below (&soak->random, SOAK_KINDS);
  self->status = 0;
  self->sealed = false;
  self->sent_us = eg_clock_now_us ();
  eg_buffer_clear (&self->body);
  eg_event_relay_finish (&self->relay);
  eg_event_relay_init (&self->relay, EG_STR (""));
  snprintf (self->id, sizeof self->id, "%06" PRIu64, ++soak->next_id);
  snprintf (head, sizeof head,
            "%s HTTP/1.1\r\nHost: soak.example\r\nX-Attempt-Id: %s\r\n"
            "X-Deadline-Ms: 8000\r\nApi-Key: secret\r\n%s\r\n",
            lines[self->kind], self->id,
            self->kind == SOAK_READ ? "" : "Content-Length: 4\r\n");
  request = (struct eg_exchange_request){
      .endpoint = {htonl (INADDR_LOOPBACK), htons (self->node->callers_port)},
      .head = eg_str_from (head),
      .body = self->kind == SOAK_READ ? EG_STR ("") : EG_STR ("body"),
  };
  soak->sent++;
  eg_exchange_init (&self->exchange, &events, self);
  if (!eg_exchange_start (&self->exchange, &soak->pool, &request))
    soak_violation (soak, "request %s cannot be sent", self->id);
  uv_timer_start (&self->timer, on_timeout, REQUEST_TIMEOUT_US / EG_US_PER_MS,
                  0);
}

void
soak_clients_init (struct soak *self)
{
  for (size_t i = 0; i < SOAK_CLIENTS; i++)
    {
      struct soak_client *client = &self->clients[i];

      client->soak = self;
      uv_timer_init (&self->loop, &client->timer);
      client->timer.data = client;
      eg_event_relay_init (&client->relay, EG_STR (""));
      uv_timer_start (&client->timer, send_next, 1500 + i * 20, 0);
    }
}

void
soak_clients_finish (struct soak *self)
{
  for (size_t i = 0; i < SOAK_CLIENTS; i++)
    {
      struct soak_client *client = &self->clients[i];

      eg_exchange_cancel (&client->exchange);
      uv_close ((uv_handle_t *) &client->timer, NULL);
      eg_buffer_finish (&client->body);
      eg_event_relay_finish (&client->relay);
    }
}
