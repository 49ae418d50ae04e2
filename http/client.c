#include "http/client.h"

#include <curl/curl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/epoll.h>
#include <unistd.h>

#include "base/buffer.h"
#include "base/clock.h"
#include "base/status.h"

#define EPOLL_EVENTS_MAX 64
#define IDLE_HANDLES_MAX 256
#define CACHED_CONNECTIONS_MAX 2048
#define RECEIVE_BUFFER_BYTES 4096L
/* A transfer that may last goes on if so many bytes move in each interval. */
#define PROGRESS_INTERVAL_US (500 * EG_US_PER_MS)
#define PROGRESS_BYTES_MIN 8192

struct eg_http_transfer
{
  struct eg_http_client *client;
  CURL *easy;
  struct curl_slist *headers;
  char *body;
  size_t body_max;
  int64_t deadline_us;    /* Of a transfer that may last; 0: not of this one. */
  int64_t interval_start; /* Bytes moved before this interval. */
  int64_t send_by_us;     /* Monotonic time, or 0 for no limit. */
  bool missed_send_time;  /* Not sent, as send_by_us had passed. */
  struct eg_buffer response;
  char etag[EG_HTTP_VALUE_BYTES];
  void (*on_data) (void *context, struct eg_str bytes);
  void (*on_done) (void *context, const struct eg_http_result *result);
  void *context;
  struct eg_http_transfer *previous;
  struct eg_http_transfer *next;
};

struct eg_http_client
{
  CURLM *multi;
  int epoll_fd;
  int ring_fd;      /* Descriptor of the ring registered in epoll, or -1. */
  int64_t timer_us; /* Monotonic time of libcurl's next timeout, or -1. */
  struct eg_http_transfer *transfers;
  CURL *idle[IDLE_HANDLES_MAX]; /* Easy handles for reuse. */
  size_t idle_count;
};

static int
on_socket (CURL *easy,
           curl_socket_t fd,
           int action,
           void *context,
           void *registered)
{
  struct eg_http_client *self = context;
  struct epoll_event event = {.data.fd = fd};

  (void) easy;
  if (action == CURL_POLL_REMOVE)
    {
      epoll_ctl (self->epoll_fd, EPOLL_CTL_DEL, fd, NULL);
      return 0;
    }
  if (action & CURL_POLL_IN)
    event.events |= EPOLLIN;
  if (action & CURL_POLL_OUT)
    event.events |= EPOLLOUT;
  if (registered)
    {
      epoll_ctl (self->epoll_fd, EPOLL_CTL_MOD, fd, &event);
      return 0;
    }
  epoll_ctl (self->epoll_fd, EPOLL_CTL_ADD, fd, &event);
  curl_multi_assign (self->multi, fd, self);
  return 0;
}

static int
on_timer (CURLM *multi, long timeout_ms, void *context)
{
  struct eg_http_client *self = context;

  (void) multi;
  self->timer_us =
      timeout_ms < 0 ? -1 : eg_clock_now_us () + timeout_ms * EG_US_PER_MS;
  return 0;
}

struct eg_http_client *
eg_http_client_new (void)
{
  struct eg_http_client *self = calloc (1, sizeof *self);

  if (!self)
    return NULL;
  self->ring_fd = -1;
  self->timer_us = -1;
  self->epoll_fd = epoll_create1 (EPOLL_CLOEXEC);
  self->multi = curl_multi_init ();
  if (self->epoll_fd < 0 || !self->multi)
    {
      eg_http_client_free (self);
      return NULL;
    }
  curl_multi_setopt (self->multi, CURLMOPT_SOCKETFUNCTION, on_socket);
  curl_multi_setopt (self->multi, CURLMOPT_SOCKETDATA, self);
  curl_multi_setopt (self->multi, CURLMOPT_TIMERFUNCTION, on_timer);
  curl_multi_setopt (self->multi, CURLMOPT_TIMERDATA, self);
  curl_multi_setopt (self->multi, CURLMOPT_MAXCONNECTS, CACHED_CONNECTIONS_MAX);
  return self;
}

static void
link_transfer (struct eg_http_client *self, struct eg_http_transfer *transfer)
{
  transfer->next = self->transfers;
  if (self->transfers)
    self->transfers->previous = transfer;
  self->transfers = transfer;
}

static void
unlink_transfer (struct eg_http_client *self, struct eg_http_transfer *transfer)
{
  if (self->transfers == transfer)
    self->transfers = transfer->next;
  else
    transfer->previous->next = transfer->next;
  if (transfer->next)
    transfer->next->previous = transfer->previous;
}

static void
free_transfer (struct eg_http_client *self, struct eg_http_transfer *transfer)
{
  curl_multi_remove_handle (self->multi, transfer->easy);
  if (self->idle_count < IDLE_HANDLES_MAX)
    {
      curl_easy_reset (transfer->easy);
      self->idle[self->idle_count++] = transfer->easy;
    }
  else
    curl_easy_cleanup (transfer->easy);
  curl_slist_free_all (transfer->headers);
  free (transfer->body);
  eg_buffer_finish (&transfer->response);
  unlink_transfer (self, transfer);
  free (transfer);
}

void
eg_http_client_free (struct eg_http_client *self)
{
  if (!self)
    return;
  while (self->transfers)
    free_transfer (self, self->transfers);
  while (self->idle_count > 0)
    curl_easy_cleanup (self->idle[--self->idle_count]);
  if (self->multi)
    curl_multi_cleanup (self->multi);
  if (self->epoll_fd >= 0)
    close (self->epoll_fd);
  free (self);
}

static size_t
on_body (char *bytes, size_t size, size_t count, void *context)
{
  struct eg_http_transfer *transfer = context;
  struct eg_str view = {bytes, size * count};
  long status = 0;

  curl_easy_getinfo (transfer->easy, CURLINFO_RESPONSE_CODE, &status);
  if (transfer->on_data && status == 200)
    {
      transfer->on_data (transfer->context, view);
      return view.len;
    }
  if (transfer->body_max > 0
      && transfer->response.len + view.len > transfer->body_max)
    return 0; /* Makes libcurl fail the transfer: EG_HTTP_BROKEN. */
  eg_buffer_append (&transfer->response, view);
  return view.len;
}

/* Returns the number of bytes sent and received of the two bodies. */
static int64_t
count_moved (const struct eg_http_transfer *transfer)
{
  curl_off_t sent = 0;
  curl_off_t received = 0;

  curl_easy_getinfo (transfer->easy, CURLINFO_SIZE_UPLOAD_T, &sent);
  curl_easy_getinfo (transfer->easy, CURLINFO_SIZE_DOWNLOAD_T, &received);
  return sent + received;
}

static void
begin_interval (struct eg_http_transfer *transfer, int64_t now_us)
{
  transfer->deadline_us = now_us + PROGRESS_INTERVAL_US;
  transfer->interval_start = count_moved (transfer);
}

static size_t
on_header (char *bytes, size_t size, size_t count, void *context)
{
  static const struct eg_str name = {"etag:", 5};
  struct eg_http_transfer *transfer = context;
  struct eg_str line = {bytes, size * count};

  if (transfer->deadline_us > 0)
    begin_interval (transfer, eg_clock_now_us ());
  if (line.len > name.len && strncasecmp (bytes, name.data, name.len) == 0)
    {
      line.data += name.len;
      line.len -= name.len;
      eg_str_copy (eg_str_trim (line), transfer->etag, sizeof transfer->etag);
    }
  return size * count;
}

/* Called after the connection is established, just before sending. */
static int
on_before_send (void *context,
                char *remote_ip,
                char *local_ip,
                int remote_port,
                int local_port)
{
  struct eg_http_transfer *transfer = context;

  (void) remote_ip;
  (void) local_ip;
  (void) remote_port;
  (void) local_port;
  transfer->missed_send_time =
      transfer->send_by_us > 0 && eg_clock_now_us () > transfer->send_by_us;
  return transfer->missed_send_time ? CURL_PREREQFUNC_ABORT
                                    : CURL_PREREQFUNC_OK;
}

static void
add_headers (struct eg_http_transfer *transfer,
             const struct eg_http_request *request)
{
  struct eg_buffer line;

  eg_buffer_init (&line);
  for (size_t i = 0; i < request->header_count; i++)
    {
      eg_buffer_clear (&line);
      eg_buffer_printf (&line, "%.*s: %.*s",
                        EG_STR_ARGS (request->headers[i].name),
                        EG_STR_ARGS (request->headers[i].value));
      transfer->headers =
          curl_slist_append (transfer->headers, eg_buffer_text (&line));
    }
  /* Otherwise libcurl may wait for "100 Continue" before it sends the body. */
  transfer->headers = curl_slist_append (transfer->headers, "Expect:");
  eg_buffer_finish (&line);
}

static long
timeout_ms (int64_t timeout_us)
{
  return timeout_us > 0 && timeout_us < EG_US_PER_MS
             ? 1
             : (long) (timeout_us / EG_US_PER_MS);
}

static void
set_body (struct eg_http_transfer *transfer,
          const struct eg_http_request *request)
{
  CURL *easy = transfer->easy;

  if (!request->body.data)
    return;
  transfer->body = malloc (request->body.len + 1);
  EG_INVARIANT (transfer->body != NULL);
  memcpy (transfer->body, request->body.data, request->body.len);
  curl_easy_setopt (easy, CURLOPT_POSTFIELDSIZE_LARGE,
                    (curl_off_t) request->body.len);
  curl_easy_setopt (easy, CURLOPT_POSTFIELDS, transfer->body);
}

static void
set_options (struct eg_http_transfer *transfer,
             const struct eg_http_request *request)
{
  CURL *easy = transfer->easy;
  char url[EG_HTTP_URL_BYTES];

  snprintf (url, sizeof url, "http://%s%.*s", request->address,
            EG_STR_ARGS (request->target));
  curl_easy_setopt (easy, CURLOPT_URL, url);
  set_body (transfer, request);
  if (strcmp (request->method, "HEAD") == 0)
    curl_easy_setopt (easy, CURLOPT_NOBODY, 1L);
  else
    curl_easy_setopt (easy, CURLOPT_CUSTOMREQUEST, request->method);
  add_headers (transfer, request);
  curl_easy_setopt (easy, CURLOPT_HTTPHEADER, transfer->headers);
  curl_easy_setopt (easy, CURLOPT_PATH_AS_IS, 1L);
  curl_easy_setopt (easy, CURLOPT_PROTOCOLS_STR, "http");
  curl_easy_setopt (easy, CURLOPT_PROXY, "");
  curl_easy_setopt (easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (easy, CURLOPT_TCP_NODELAY, 1L);
  curl_easy_setopt (easy, CURLOPT_BUFFERSIZE, RECEIVE_BUFFER_BYTES);
  curl_easy_setopt (easy, CURLOPT_CONNECTTIMEOUT_MS,
                    timeout_ms (request->connect_timeout_us));
  if (request->lasts_while_arriving)
    transfer->deadline_us = eg_clock_now_us () + request->timeout_us;
  else
    curl_easy_setopt (easy, CURLOPT_TIMEOUT_MS,
                      timeout_ms (request->timeout_us));
  curl_easy_setopt (easy, CURLOPT_FRESH_CONNECT,
                    request->at_most_once ? 1L : 0);
  /* The next such request uses a new connection too, so a cached one would only
     stay idle. */
  curl_easy_setopt (easy, CURLOPT_FORBID_REUSE, request->at_most_once ? 1L : 0);
  curl_easy_setopt (easy, CURLOPT_PREREQFUNCTION, on_before_send);
  curl_easy_setopt (easy, CURLOPT_PREREQDATA, transfer);
  curl_easy_setopt (easy, CURLOPT_WRITEFUNCTION, on_body);
  curl_easy_setopt (easy, CURLOPT_WRITEDATA, transfer);
  curl_easy_setopt (easy, CURLOPT_HEADERFUNCTION, on_header);
  curl_easy_setopt (easy, CURLOPT_HEADERDATA, transfer);
  curl_easy_setopt (easy, CURLOPT_PRIVATE, transfer);
}

struct eg_http_transfer *
eg_http_client_start (struct eg_http_client *self,
                      const struct eg_http_request *request)
{
  struct eg_http_transfer *transfer = calloc (1, sizeof *transfer);

  if (!transfer || request->target.len > EG_HTTP_TARGET_MAX)
    {
      free (transfer);
      return NULL;
    }
  transfer->client = self;
  transfer->easy =
      self->idle_count > 0 ? self->idle[--self->idle_count] : curl_easy_init ();
  if (!transfer->easy)
    {
      free (transfer);
      return NULL;
    }
  transfer->body_max = request->body_max;
  transfer->send_by_us = request->send_by_us;
  transfer->on_data = request->on_data;
  transfer->on_done = request->on_done;
  transfer->context = request->context;
  link_transfer (self, transfer);
  set_options (transfer, request);
  if (curl_multi_add_handle (self->multi, transfer->easy) != CURLM_OK)
    {
      free_transfer (self, transfer);
      return NULL;
    }
  return transfer;
}

void
eg_http_client_abort (struct eg_http_client *self,
                      struct eg_http_transfer *transfer)
{
  free_transfer (self, transfer);
}

/* Only a failure before the connection was established proves that nothing was
   sent. */
static enum eg_http_outcome
classify_outcome (CURL *easy, CURLcode code)
{
  curl_off_t pretransfer_us = 0;

  switch (code)
    {
    case CURLE_OK:
      return EG_HTTP_ANSWERED;
    case CURLE_COULDNT_CONNECT:
    case CURLE_COULDNT_RESOLVE_HOST:
    case CURLE_URL_MALFORMAT:
      return EG_HTTP_NOT_SENT;
    case CURLE_OPERATION_TIMEDOUT:
      curl_easy_getinfo (easy, CURLINFO_PRETRANSFER_TIME_T, &pretransfer_us);
      return pretransfer_us == 0 ? EG_HTTP_NOT_SENT : EG_HTTP_TIMED_OUT;
    default:
      return EG_HTTP_BROKEN;
    }
}

static void
finish_transfer (struct eg_http_client *self,
                 struct eg_http_transfer *transfer,
                 CURLcode code)
{
  struct eg_http_result result = {0};
  const char *content_type = NULL;
  long status = 0;

  curl_easy_getinfo (transfer->easy, CURLINFO_RESPONSE_CODE, &status);
  curl_easy_getinfo (transfer->easy, CURLINFO_CONTENT_TYPE, &content_type);
  result.outcome = transfer->missed_send_time
                       ? EG_HTTP_NOT_SENT
                       : classify_outcome (transfer->easy, code);
  result.status = (int) status;
  result.timed_out = code == CURLE_OPERATION_TIMEDOUT;
  result.detail = curl_easy_strerror (code);
  result.body = eg_buffer_view (&transfer->response);
  eg_str_copy (eg_str_from (content_type), result.content_type,
               sizeof result.content_type);
  memcpy (result.etag, transfer->etag, sizeof result.etag);
  if (transfer->on_done)
    transfer->on_done (transfer->context, &result);
  free_transfer (self, transfer);
}

static void
finish_completed (struct eg_http_client *self)
{
  struct eg_http_transfer *transfer;
  CURLMsg *message;
  int remaining;

  while ((message = curl_multi_info_read (self->multi, &remaining)))
    if (message->msg == CURLMSG_DONE)
      {
        CURLcode code = message->data.result;

        curl_easy_getinfo (message->easy_handle, CURLINFO_PRIVATE,
                           (char **) &transfer);
        finish_transfer (self, transfer, code);
      }
}

/* Returns a transfer that may last and has made no progress, or NULL. */
static struct eg_http_transfer *
find_stalled (struct eg_http_client *self, int64_t now_us)
{
  for (struct eg_http_transfer *transfer = self->transfers; transfer;
       transfer = transfer->next)
    {
      if (transfer->deadline_us == 0 || now_us < transfer->deadline_us)
        continue;
      if (count_moved (transfer) - transfer->interval_start
          < PROGRESS_BYTES_MIN)
        return transfer;
      begin_interval (transfer, now_us);
    }
  return NULL;
}

static void
finish_stalled (struct eg_http_client *self)
{
  int64_t now_us = eg_clock_now_us ();
  struct eg_http_transfer *transfer;

  /* The callback may start and abort other transfers. */
  while ((transfer = find_stalled (self, now_us)))
    finish_transfer (self, transfer, CURLE_OPERATION_TIMEDOUT);
}

static void
watch_ring (struct eg_http_client *self, struct eg_ring *ring)
{
  struct epoll_event event = {.events = EPOLLIN, .data.fd = ring->event_fd};

  if (self->ring_fd == ring->event_fd)
    return;
  self->ring_fd = ring->event_fd;
  epoll_ctl (self->epoll_fd, EPOLL_CTL_ADD, ring->event_fd, &event);
}

static int
poll_timeout_ms (struct eg_http_client *self, int64_t timeout_us)
{
  int64_t poll_us = timeout_us;

  if (self->timer_us >= 0)
    {
      int64_t timer_us = self->timer_us - eg_clock_now_us ();

      if (timer_us < poll_us)
        poll_us = timer_us;
    }
  return poll_us <= 0 ? 0 : (int) ((poll_us + EG_US_PER_MS - 1) / EG_US_PER_MS);
}

static void
handle_events (struct eg_http_client *self,
               const struct epoll_event *events,
               int count)
{
  int running;

  for (int i = 0; i < count; i++)
    {
      int mask = 0;

      if (events[i].data.fd == self->ring_fd)
        continue;
      if (events[i].events & EPOLLIN)
        mask |= CURL_CSELECT_IN;
      if (events[i].events & EPOLLOUT)
        mask |= CURL_CSELECT_OUT;
      if (events[i].events & (EPOLLERR | EPOLLHUP))
        mask |= CURL_CSELECT_ERR;
      curl_multi_socket_action (self->multi, events[i].data.fd, mask, &running);
    }
}

static void
handle_timer (struct eg_http_client *self)
{
  int running;

  if (self->timer_us < 0 || eg_clock_now_us () < self->timer_us)
    return;
  self->timer_us = -1;
  curl_multi_socket_action (self->multi, CURL_SOCKET_TIMEOUT, 0, &running);
}

void
eg_http_client_run (struct eg_http_client *self,
                    struct eg_ring *ring,
                    int64_t timeout_us)
{
  struct epoll_event events[EPOLL_EVENTS_MAX];
  bool may_sleep;
  int count;

  watch_ring (self, ring);
  may_sleep = eg_ring_prepare_wait (ring);
  count = epoll_wait (self->epoll_fd, events, EPOLL_EVENTS_MAX,
                      may_sleep ? poll_timeout_ms (self, timeout_us) : 0);
  eg_ring_end_wait (ring);
  handle_events (self, events, count);
  handle_timer (self);
  finish_completed (self);
  finish_stalled (self);
}
