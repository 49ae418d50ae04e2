/* The bus thread on real sockets: peers with the key talk, others do not get
   in, and garbage is counted. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include <arpa/inet.h>
#include <ck_pr.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>
#include <zmq.h>

#include "base/clock.h"
#include "base/ring.h"
#include "bus/codec.h"
#include "bus/worker.h"
#include "policy/membership.h"
#include "test/port_lock.h"

#define ADDRESS_A "127.0.0.1:9101"
#define ADDRESS_B "127.0.0.1:9102"
#define PORT_A 9101
#define WAIT_US (10 * EG_US_PER_S)
#define STEP_US (20 * EG_US_PER_MS)

static char public_key[EG_BUS_KEY_BYTES];
static char secret_key[EG_BUS_KEY_BYTES];

struct end
{
  struct eg_ring received;
  struct eg_bus_worker *worker;
};

static void
on_message (void *context, struct eg_peer_message *message)
{
  struct end *end = context;

  if (!eg_ring_push (&end->received, message))
    free (message);
}

static void
end_init (struct end *end, const char *address)
{
  const struct eg_bus_config config = {
      .address = address, .public_key = public_key, .secret_key = secret_key};
  const struct eg_bus_sink sink = {on_message, end};
  struct eg_error error;

  assert_true (eg_ring_init (&end->received, 64));
  end->worker = eg_bus_worker_new (&config, &sink, &error);
  assert_non_null (end->worker);
}

static void
end_finish (struct end *end)
{
  void *message;

  eg_bus_worker_free (end->worker);
  while ((message = eg_ring_pop (&end->received)))
    free (message);
  eg_ring_finish (&end->received);
}

static struct eg_peer_message *
await_message (struct end *end)
{
  int64_t until_us = eg_clock_now_us () + WAIT_US;
  struct eg_peer_message *message;

  while (!(message = eg_ring_pop (&end->received))
         && eg_clock_now_us () < until_us)
    eg_ring_wait (&end->received, STEP_US);
  return message;
}

/* Waits until a count of strangers or garbage is no longer 0. */
static bool
await_count (struct end *end, size_t offset)
{
  int64_t until_us = eg_clock_now_us () + WAIT_US;

  while (eg_clock_now_us () < until_us)
    {
      struct eg_bus_counts counts = eg_bus_worker_counts (end->worker);

      if (*(uint64_t *) (void *) ((char *) &counts + offset) > 0)
        return true;
      eg_ring_wait (&end->received, STEP_US);
    }
  return false;
}

static void
expect_heartbeat (struct end *from,
                  struct end *to,
                  const char *from_address,
                  const char *to_address)
{
  struct eg_peer_message heartbeat = {
      .kind = EG_PEER_HEARTBEAT,
      .from = eg_member_id (eg_str_from (from_address)),
      .incarnation = 5,
  };
  struct eg_peer_message *received;

  eg_bus_worker_send (from->worker, to_address, &heartbeat);
  received = await_message (to);
  assert_non_null (received);
  assert_int_equal (received->kind, EG_PEER_HEARTBEAT);
  assert_int_equal (received->incarnation, 5);
  assert_true (received->from == heartbeat.from);
  free (received);
}

static void
test_peers_talk_over_one_connection (void **state)
{
  struct end a;
  struct end b;

  (void) state;
  end_init (&a, ADDRESS_A);
  end_init (&b, ADDRESS_B);
  expect_heartbeat (&a, &b, ADDRESS_A, ADDRESS_B);
  /* The answer goes back the same way. */
  expect_heartbeat (&b, &a, ADDRESS_B, ADDRESS_A);
  assert_int_equal (eg_bus_worker_counts (a.worker).connections, 1);
  assert_int_equal (eg_bus_worker_counts (b.worker).connections, 0);
  assert_int_equal (eg_bus_worker_counts (b.worker).sent, 1);
  assert_int_equal (eg_bus_worker_counts (b.worker).received, 1);
  end_finish (&a);
  end_finish (&b);
}

/* Sends bytes by ZeroMQ with keys of the test's choice. */
static void
send_raw (void *context,
          const char *server_key,
          const char *own_public,
          const char *own_secret,
          struct eg_str bytes,
          void **socket)
{
  int linger = 0;

  *socket = zmq_socket (context, ZMQ_DEALER);
  zmq_setsockopt (*socket, ZMQ_LINGER, &linger, sizeof linger);
  zmq_setsockopt (*socket, ZMQ_CURVE_SERVERKEY, server_key,
                  strlen (server_key));
  zmq_setsockopt (*socket, ZMQ_CURVE_PUBLICKEY, own_public,
                  strlen (own_public));
  zmq_setsockopt (*socket, ZMQ_CURVE_SECRETKEY, own_secret,
                  strlen (own_secret));
  zmq_setsockopt (*socket, ZMQ_ROUTING_ID, ADDRESS_B, strlen (ADDRESS_B));
  assert_int_equal (zmq_connect (*socket, "tcp://" ADDRESS_A), 0);
  assert_true (zmq_send (*socket, bytes.data, bytes.len, 0) >= 0);
}

/* One knows the listener's public key but has a pair of its own; one knows no
   key at all. */
static void
test_strangers_stay_out (void **state)
{
  void *context = zmq_ctx_new ();
  char strange_public[EG_BUS_KEY_BYTES];
  char strange_secret[EG_BUS_KEY_BYTES];
  struct eg_peer_message heartbeat = {
      .kind = EG_PEER_HEARTBEAT,
      .from = eg_member_id (EG_STR (ADDRESS_B)),
  };
  struct eg_buffer bytes = {0};

  (void) state;
  zmq_curve_keypair (strange_public, strange_secret);
  eg_bus_encode (&heartbeat, &bytes);
  for (int knows_key = 0; knows_key < 2; knows_key++)
    {
      struct end a;
      void *socket;

      end_init (&a, ADDRESS_A);
      send_raw (context, knows_key ? public_key : strange_public,
                strange_public, strange_secret, eg_buffer_view (&bytes),
                &socket);
      assert_true (await_count (&a, offsetof (struct eg_bus_counts, rejected)));
      assert_int_equal (eg_bus_worker_counts (a.worker).received, 0);
      zmq_close (socket);
      end_finish (&a);
    }
  eg_buffer_finish (&bytes);
  zmq_ctx_term (context);
}

static void
test_garbage_from_a_peer_is_counted (void **state)
{
  void *context = zmq_ctx_new ();
  struct end a;
  void *socket;

  (void) state;
  end_init (&a, ADDRESS_A);
  send_raw (context, public_key, public_key, secret_key,
            EG_STR ("no message at all"), &socket);
  assert_true (await_count (&a, offsetof (struct eg_bus_counts, malformed)));
  assert_int_equal (eg_bus_worker_counts (a.worker).received, 0);
  zmq_close (socket);
  zmq_ctx_term (context);
  end_finish (&a);
}

static void
test_garbage_on_the_port_is_counted (void **state)
{
  const char garbage[] = "GET / HTTP/1.1\r\nHost: a-host-that-is-none\r\n\r\n"
                         "and some more bytes, so that a greeting is there";
  const struct sockaddr_in address = {
      .sin_family = AF_INET,
      .sin_port = htons (PORT_A),
      .sin_addr.s_addr = htonl (INADDR_LOOPBACK),
  };
  struct end a;
  struct end b;
  int fd;

  (void) state;
  end_init (&a, ADDRESS_A);
  end_init (&b, ADDRESS_B);
  fd = socket (AF_INET, SOCK_STREAM, 0);
  assert_int_equal (
      connect (fd, (const struct sockaddr *) &address, sizeof address), 0);
  assert_int_equal (send (fd, garbage, sizeof garbage, 0), sizeof garbage);
  assert_true (await_count (&a, offsetof (struct eg_bus_counts, rejected)));
  close (fd);
  /* And the port still serves. */
  expect_heartbeat (&b, &a, ADDRESS_B, ADDRESS_A);
  end_finish (&a);
  end_finish (&b);
}

static void
test_keys_are_checked (void **state)
{
  char other_public[EG_BUS_KEY_BYTES];
  char other_secret[EG_BUS_KEY_BYTES];
  struct eg_error error;

  (void) state;
  zmq_curve_keypair (other_public, other_secret);
  assert_int_equal (eg_bus_check_keys (public_key, secret_key, &error), EG_OK);
  assert_int_equal (eg_bus_check_keys (other_public, secret_key, &error),
                    EG_INVALID);
  assert_int_equal (eg_bus_check_keys ("", "", &error), EG_INVALID);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
      cmocka_unit_test (test_peers_talk_over_one_connection),
      cmocka_unit_test (test_strangers_stay_out),
      cmocka_unit_test (test_garbage_from_a_peer_is_counted),
      cmocka_unit_test (test_garbage_on_the_port_is_counted),
      cmocka_unit_test (test_keys_are_checked),
  };

  port_lock ("bus");
  if (zmq_curve_keypair (public_key, secret_key) != 0)
    return EXIT_FAILURE;
  return cmocka_run_group_tests (tests, NULL, NULL);
}
