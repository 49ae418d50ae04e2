#include "standin/load_client.h"

#include <stdlib.h>
#include <sys/epoll.h>
#include <unistd.h>

#include "base/clock.h"

#define MAX_EVENTS 256
#define MAX_IDLE_CONNECTIONS 4096L
#define CONNECT_TIMEOUT_MS 2000L
#define NO_TIMER INT64_MAX

struct transfer
{
  struct eg_load_client *client;
  struct eg_load_exchange exchange;
  CURL *easy;
  bool active;
  struct transfer *next_free;
  struct transfer *next; /* in the list of all transfers */
};

struct eg_load_client
{
  CURLM *multi;
  int epoll_fd;
  int64_t timer_us; /* when the timeout of libcurl expires, or NO_TIMER */
  size_t n_active;
  struct transfer *transfers;
  struct transfer *free_list;
};

static int
watch_socket (CURL *easy,
              curl_socket_t fd,
              int what,
              void *context,
              void *is_registered)
{
  struct eg_load_client *self = context;
  struct epoll_event event = {.data.fd = fd};

  (void) easy;
  if (what == CURL_POLL_REMOVE)
    {
      epoll_ctl (self->epoll_fd, EPOLL_CTL_DEL, fd, NULL);
      return 0;
    }
  if (what & CURL_POLL_IN)
    event.events |= EPOLLIN;
  if (what & CURL_POLL_OUT)
    event.events |= EPOLLOUT;
  epoll_ctl (self->epoll_fd, is_registered ? EPOLL_CTL_MOD : EPOLL_CTL_ADD, fd,
             &event);
  curl_multi_assign (self->multi, fd, self);
  return 0;
}

static int
set_timer (CURLM *multi, long timeout_ms, void *context)
{
  struct eg_load_client *self = context;

  (void) multi;
  self->timer_us = timeout_ms < 0
                       ? NO_TIMER
                       : eg_clock_now_us () + timeout_ms * EG_US_PER_MS;
  return 0;
}

struct eg_load_client *
eg_load_client_new (struct eg_error *error)
{
  struct eg_load_client *self = calloc (1, sizeof *self);

  EG_INVARIANT (self != NULL);
  self->timer_us = NO_TIMER;
  self->epoll_fd = epoll_create1 (EPOLL_CLOEXEC);
  self->multi = curl_multi_init ();
  if (self->epoll_fd < 0 || !self->multi)
    {
      eg_error_set (error, EG_SYSTEM, "cannot initialise the HTTP client");
      eg_load_client_free (self);
      return NULL;
    }
  curl_multi_setopt (self->multi, CURLMOPT_SOCKETFUNCTION, watch_socket);
  curl_multi_setopt (self->multi, CURLMOPT_SOCKETDATA, self);
  curl_multi_setopt (self->multi, CURLMOPT_TIMERFUNCTION, set_timer);
  curl_multi_setopt (self->multi, CURLMOPT_TIMERDATA, self);
  curl_multi_setopt (self->multi, CURLMOPT_MAXCONNECTS, MAX_IDLE_CONNECTIONS);
  return self;
}

static size_t
on_header (char *data, size_t size, size_t count, void *context)
{
  struct transfer *transfer = context;
  struct eg_str line = {data, size * count};

  if (transfer->exchange.on_header)
    transfer->exchange.on_header (transfer->exchange.context, line);
  return line.len;
}

static size_t
on_body (char *data, size_t size, size_t count, void *context)
{
  struct transfer *transfer = context;
  struct eg_str bytes = {data, size * count};
  long http_status = 0;

  curl_easy_getinfo (transfer->easy, CURLINFO_RESPONSE_CODE, &http_status);
  transfer->exchange.on_body (transfer->exchange.context, (int) http_status,
                              bytes);
  return bytes.len;
}

static struct transfer *
acquire_transfer (struct eg_load_client *self)
{
  struct transfer *transfer = self->free_list;

  if (transfer)
    {
      self->free_list = transfer->next_free;
      return transfer;
    }
  transfer = calloc (1, sizeof *transfer);
  EG_INVARIANT (transfer != NULL);
  transfer->client = self;
  transfer->easy = curl_easy_init ();
  EG_INVARIANT (transfer->easy != NULL);
  transfer->next = self->transfers;
  self->transfers = transfer;
  return transfer;
}

static void
configure_transfer (struct transfer *transfer)
{
  const struct eg_load_exchange *exchange = &transfer->exchange;
  CURL *easy = transfer->easy;

  curl_easy_reset (easy);
  curl_easy_setopt (easy, CURLOPT_PRIVATE, transfer);
  curl_easy_setopt (easy, CURLOPT_URL, exchange->url);
  curl_easy_setopt (easy, CURLOPT_HTTPHEADER, exchange->headers);
  curl_easy_setopt (easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (easy, CURLOPT_NOPROXY, "*");
  curl_easy_setopt (easy, CURLOPT_TCP_NODELAY, 1L);
  curl_easy_setopt (easy, CURLOPT_CONNECTTIMEOUT_MS, CONNECT_TIMEOUT_MS);
  curl_easy_setopt (easy, CURLOPT_TIMEOUT_MS,
                    (long) (exchange->timeout_us / EG_US_PER_MS));
  curl_easy_setopt (easy, CURLOPT_HEADERFUNCTION, on_header);
  curl_easy_setopt (easy, CURLOPT_HEADERDATA, transfer);
  curl_easy_setopt (easy, CURLOPT_WRITEFUNCTION, on_body);
  curl_easy_setopt (easy, CURLOPT_WRITEDATA, transfer);
  if (exchange->body.len > 0)
    {
      curl_easy_setopt (easy, CURLOPT_POSTFIELDS, exchange->body.data);
      curl_easy_setopt (easy, CURLOPT_POSTFIELDSIZE, (long) exchange->body.len);
    }
  curl_easy_setopt (easy, CURLOPT_CUSTOMREQUEST, exchange->method);
  curl_easy_setopt (easy, CURLOPT_FRESH_CONNECT,
                    exchange->at_most_once ? 1L : 0L);
  /* An idle connection would occupy a thread of the entry VM. */
  curl_easy_setopt (easy, CURLOPT_FORBID_REUSE,
                    exchange->at_most_once ? 1L : 0L);
}

void
eg_load_client_start (struct eg_load_client *self,
                      const struct eg_load_exchange *exchange)
{
  struct transfer *transfer = acquire_transfer (self);

  transfer->exchange = *exchange;
  transfer->active = true;
  configure_transfer (transfer);
  self->n_active++;
  curl_multi_add_handle (self->multi, transfer->easy);
}

static const char *
transport_error_name (CURLcode code, bool has_response)
{
  switch (code)
    {
    case CURLE_OK:
      return has_response ? NULL : "no-answer";
    case CURLE_COULDNT_CONNECT:
      return "connect-refused";
    case CURLE_OPERATION_TIMEDOUT:
      return "timeout";
    case CURLE_PARTIAL_FILE:
    case CURLE_RECV_ERROR:
    case CURLE_GOT_NOTHING:
      return has_response ? "connection-lost" : "no-answer";
    case CURLE_SEND_ERROR:
      return "send-failed";
    default:
      return curl_easy_strerror (code);
    }
}

static void
release_transfer (struct eg_load_client *self, struct transfer *transfer)
{
  curl_multi_remove_handle (self->multi, transfer->easy);
  transfer->active = false;
  transfer->next_free = self->free_list;
  self->free_list = transfer;
  self->n_active--;
}

static void
finish_transfer (struct eg_load_client *self, CURL *easy, CURLcode code)
{
  struct eg_load_exchange_result result = {0};
  struct eg_load_exchange exchange;
  struct transfer *transfer = NULL;
  long http_status = 0;

  curl_easy_getinfo (easy, CURLINFO_PRIVATE, (char **) &transfer);
  curl_easy_getinfo (easy, CURLINFO_RESPONSE_CODE, &http_status);
  exchange = transfer->exchange;
  result.http_status = (int) http_status;
  result.refused = code == CURLE_COULDNT_CONNECT;
  result.transport_error = transport_error_name (code, http_status > 0);
  release_transfer (self, transfer);
  exchange.on_end (exchange.context, &result);
}

static void
finish_transfers (struct eg_load_client *self)
{
  CURLMsg *message;
  int left;

  while ((message = curl_multi_info_read (self->multi, &left)))
    if (message->msg == CURLMSG_DONE)
      finish_transfer (self, message->easy_handle, message->data.result);
}

static int
event_mask (uint32_t events)
{
  int mask = 0;

  if (events & EPOLLIN)
    mask |= CURL_CSELECT_IN;
  if (events & EPOLLOUT)
    mask |= CURL_CSELECT_OUT;
  if (events & (EPOLLERR | EPOLLHUP))
    mask |= CURL_CSELECT_ERR;
  return mask;
}

static int64_t
time_until_timer (const struct eg_load_client *self, int64_t timeout_us)
{
  int64_t left;

  if (self->timer_us == NO_TIMER)
    return timeout_us;
  left = self->timer_us - eg_clock_now_us ();
  if (left < 0)
    left = 0;
  return left < timeout_us ? left : timeout_us;
}

void
eg_load_client_run (struct eg_load_client *self, int64_t timeout_us)
{
  struct epoll_event events[MAX_EVENTS];
  int64_t wait_us = time_until_timer (self, timeout_us > 0 ? timeout_us : 0);
  struct timespec wait = {wait_us / EG_US_PER_S, wait_us % EG_US_PER_S * 1000};
  int running;
  int count = epoll_pwait2 (self->epoll_fd, events, MAX_EVENTS, &wait, NULL);

  for (int i = 0; i < count; i++)
    curl_multi_socket_action (self->multi, events[i].data.fd,
                              event_mask (events[i].events), &running);
  if (self->timer_us <= eg_clock_now_us ())
    {
      self->timer_us = NO_TIMER;
      curl_multi_socket_action (self->multi, CURL_SOCKET_TIMEOUT, 0, &running);
    }
  finish_transfers (self);
}

size_t
eg_load_client_active (const struct eg_load_client *self)
{
  return self->n_active;
}

void
eg_load_client_abort (struct eg_load_client *self, const char *cause)
{
  for (struct transfer *transfer = self->transfers; transfer;
       transfer = transfer->next)
    {
      struct eg_load_exchange_result result = {.transport_error = cause};
      struct eg_load_exchange exchange = transfer->exchange;
      long http_status = 0;

      if (!transfer->active)
        continue;
      curl_easy_getinfo (transfer->easy, CURLINFO_RESPONSE_CODE, &http_status);
      result.http_status = (int) http_status;
      release_transfer (self, transfer);
      exchange.on_end (exchange.context, &result);
    }
}

void
eg_load_client_free (struct eg_load_client *self)
{
  struct transfer *next;

  if (!self)
    return;
  for (struct transfer *transfer = self->transfers; transfer; transfer = next)
    {
      next = transfer->next;
      if (transfer->active)
        curl_multi_remove_handle (self->multi, transfer->easy);
      curl_easy_cleanup (transfer->easy);
      free (transfer);
    }
  if (self->multi)
    curl_multi_cleanup (self->multi);
  if (self->epoll_fd >= 0)
    close (self->epoll_fd);
  free (self);
}
