/* Tests of the memory budget of inbound connections, against simulated crowds
 * of clients. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "base/clock.h"
#include "base/random.h"
#include "policy/client_memory.h"

#define MS EG_US_PER_MS
#define START_US (100 * EG_US_PER_S)
#define BUDGET ((size_t) 56 << 20)
#define ALONE_MAX ((size_t) 84 << 20)
#define FIXED_BYTES 4700
#define BODY_BYTES ((size_t) 4 << 20)
#define PIECE_BYTES 65536
#define RATE 1024
#define CLIENTS 400
#define SLOTS ((size_t) 1291)

/** A client of the crowd. */
struct client
{
  struct eg_client_holder holder;
  size_t body;
  bool open;
  bool rejected;
};

/** Connections of one VM. */
struct crowd
{
  struct eg_client_memory memory;
  struct client clients[SLOTS + 1];
  int64_t now_us;
};

static struct client *
client_of (struct eg_client_holder *holder)
{
  return EG_CONTAINER_OF (holder, struct client, holder);
}

static void
init_crowd (struct crowd *self)
{
  memset (self, 0, sizeof *self);
  eg_client_memory_init (&self->memory);
  eg_client_memory_set_budget (&self->memory, BUDGET, ALONE_MAX);
  self->now_us = START_US;
}

static struct client *
open_client (struct crowd *self,
             size_t i,
             enum eg_client_stage stage,
             uint32_t address)
{
  struct client *client = &self->clients[i];

  *client = (struct client){.open = true};
  client->holder.stage = stage;
  client->holder.address = address;
  client->holder.missing = BODY_BYTES;
  eg_client_pace_start (&client->holder.pace, self->now_us);
  eg_client_memory_add (&self->memory, &client->holder);
  eg_client_memory_hold (&self->memory, &client->holder, FIXED_BYTES);
  return client;
}

static void
close_client (struct crowd *self, struct client *client)
{
  assert_true (client->open);
  client->open = false;
  eg_client_memory_remove (&self->memory, &client->holder);
}

/* Receives a part of a body, as the daemon does; false if it is rejected. */
static bool
receive (struct crowd *self, struct client *client, size_t bytes)
{
  struct eg_client_holder *victim;

  eg_client_pace_moved (&client->holder.pace, bytes, RATE, self->now_us);
  while (!eg_client_memory_admit (&self->memory, &client->holder, bytes,
                                  self->now_us, &victim))
    {
      close_client (self, client_of (victim));
      client_of (victim)->rejected = true;
      if (victim == &client->holder)
        return false;
    }
  client->body += bytes;
  client->holder.missing -= bytes;
  eg_client_memory_hold (&self->memory, &client->holder,
                         FIXED_BYTES + client->body);
  assert_true (self->memory.held <= BUDGET);
  return true;
}

/* Sends all but the last byte of a body at once. */
static void
send_nearly_all (struct crowd *self, struct client *client)
{
  while (client->open && client->holder.missing > PIECE_BYTES)
    receive (self, client, PIECE_BYTES);
  if (client->open)
    receive (self, client, client->holder.missing - 1);
}

/* Guards against a crowd of bodies that stop just before their end: they must
 * not keep out requests that become complete. */
static void
test_stalled_bodies_give_way (void **state)
{
  struct crowd *crowd = *state;
  struct client *ordinary;

  for (size_t i = 0; i < CLIENTS; i++)
    {
      send_nearly_all (crowd, open_client (crowd, i, EG_CLIENT_RECEIVING, 1));
      crowd->now_us += 10 * MS;
      if (i % 10 != 9)
        continue;
      crowd->now_us += EG_CLIENT_SLOW_US;
      ordinary = open_client (crowd, SLOTS, EG_CLIENT_RECEIVING, 2);
      while (ordinary->open && ordinary->body < BODY_BYTES)
        {
          assert_true (receive (crowd, ordinary, PIECE_BYTES));
          crowd->now_us += MS;
        }
      assert_true (ordinary->open);
      close_client (crowd, ordinary);
    }
}

/* Guards against small requests that are rejected for the sake of large ones
 * while all of these arrive quickly. */
static void
test_small_request_is_admitted_among_large_ones (void **state)
{
  struct crowd *crowd = *state;
  struct client *small;
  size_t i;

  for (i = 0; i < 30; i++)
    send_nearly_all (crowd, open_client (crowd, i, EG_CLIENT_RECEIVING, 1));
  for (; i < CLIENTS; i++)
    {
      send_nearly_all (crowd, open_client (crowd, i, EG_CLIENT_RECEIVING, 1));
      small = open_client (crowd, SLOTS, EG_CLIENT_RECEIVING, 2);
      small->holder.missing = 2000;
      assert_true (receive (crowd, small, 2000));
      close_client (crowd, small);
    }
}

/* Guards against a connection that is closed before one that is of less use:
 * first slow requests, then unread responses, then what is complete. */
static void
test_order_of_closing (void **state)
{
  struct crowd *crowd = *state;
  static const enum eg_client_stage stages[] = {
      EG_CLIENT_SENT, EG_CLIENT_WAITING, EG_CLIENT_READING,
      EG_CLIENT_RECEIVING};
  struct client *clients[4];

  for (size_t i = 0; i < 4; i++)
    {
      clients[i] = open_client (crowd, i, stages[i], 1);
      eg_client_memory_hold (&crowd->memory, &clients[i]->holder,
                             BUDGET / 3 + (4 - i) * 1000);
    }
  crowd->now_us += EG_CLIENT_UNREAD_US;
  for (size_t i = 4; i-- > 0;)
    {
      struct eg_client_holder *victim;

      eg_client_memory_set_budget (&crowd->memory, BUDGET / 4, BUDGET / 4);
      victim = eg_client_memory_find_excess (&crowd->memory, crowd->now_us);
      assert_ptr_equal (victim, &clients[i]->holder);
      close_client (crowd, clients[i]);
    }
  assert_null (eg_client_memory_find_excess (&crowd->memory, crowd->now_us));
}

/* Guards against closing a connection in the middle of another one's event. */
static void
test_connection_in_a_call_is_not_closed_by_a_body (void **state)
{
  struct crowd *crowd = *state;
  struct client *reader = open_client (crowd, 0, EG_CLIENT_READING, 1);
  struct client *body = open_client (crowd, 1, EG_CLIENT_RECEIVING, 1);

  reader->holder.in_call = true;
  eg_client_memory_hold (&crowd->memory, &reader->holder, BUDGET - 10000);
  crowd->now_us += 10 * EG_US_PER_S;
  assert_false (receive (crowd, body, PIECE_BYTES));
  assert_true (reader->open);
}

/* Guards against a budget that admits not even one legal request, although the
 * VM's memory permits it. */
static void
test_large_request_is_served_alone (void **state)
{
  struct crowd *crowd = *state;
  struct client *large = open_client (crowd, 0, EG_CLIENT_RECEIVING, 1);
  struct client *stalled = open_client (crowd, 1, EG_CLIENT_RECEIVING, 1);
  struct eg_client_holder *victim;

  eg_client_memory_hold (&crowd->memory, &large->holder, BUDGET - 20000);
  assert_true (eg_client_memory_admit (&crowd->memory, &large->holder,
                                       ALONE_MAX - BUDGET, crowd->now_us,
                                       &victim));
  assert_false (eg_client_memory_admit (&crowd->memory, &large->holder,
                                        ALONE_MAX, crowd->now_us, &victim));
  assert_ptr_equal (victim, &large->holder);
  eg_client_memory_hold (&crowd->memory, &stalled->holder, 10000);
  crowd->now_us += EG_CLIENT_SLOW_US;
  eg_client_pace_start (&large->holder.pace, crowd->now_us);
  assert_false (eg_client_memory_admit (&crowd->memory, &large->holder,
                                        ALONE_MAX - BUDGET, crowd->now_us,
                                        &victim));
  assert_ptr_equal (victim, &stalled->holder);
}

/* Guards against a crowd that takes all connections: the slow ones go first,
 * a connection that is served stays. */
static void
test_crowd_gives_way_to_new_connections (void **state)
{
  struct crowd *crowd = *state;
  size_t incomplete = 0;

  for (size_t i = 0; i < SLOTS; i++)
    open_client (crowd, i, i < 3 ? EG_CLIENT_SENT : EG_CLIENT_IDLE, 1);
  for (size_t i = 3; i < SLOTS; i++)
    if (i % 2)
      {
        crowd->clients[i].holder.stage = EG_CLIENT_RECEIVING;
        incomplete++;
      }
  crowd->now_us += EG_US_PER_S;
  for (size_t i = 3; i < SLOTS; i++)
    {
      struct eg_client_holder *victim =
          eg_client_memory_find_slot (&crowd->memory, 0, crowd->now_us);

      assert_non_null (victim);
      assert_int_equal (victim->stage, i < 3 + incomplete ? EG_CLIENT_RECEIVING
                                                          : EG_CLIENT_IDLE);
      close_client (crowd, client_of (victim));
    }
  assert_null (eg_client_memory_find_slot (&crowd->memory, 0, crowd->now_us));
}

/* Guards against one address that displaces the connections of all others. */
static void
test_no_address_displaces_all_others (void **state)
{
  struct crowd *crowd = *state;
  size_t others = 0;

  for (size_t i = 0; i < SLOTS; i++)
    {
      /* The others' connections are idle for longer. */
      open_client (crowd, i, EG_CLIENT_IDLE,
                   i < SLOTS / 3 ? 100 + (uint32_t) (i % 7) : 1);
      crowd->now_us += MS;
    }
  for (size_t i = 0; i < 3 * SLOTS; i++)
    {
      struct eg_client_holder *victim =
          eg_client_memory_find_slot (&crowd->memory, 0, crowd->now_us);
      struct client *client = client_of (victim);

      close_client (crowd, client);
      open_client (crowd, (size_t) (client - crowd->clients), EG_CLIENT_IDLE,
                   1);
      crowd->now_us += MS;
    }
  for (size_t i = 0; i < SLOTS; i++)
    others += crowd->clients[i].holder.address != 1;
  assert_int_equal (others, SLOTS / 3);
}

/* Guards against connections of one port that give way to those of another. */
static void
test_ports_are_separate (void **state)
{
  struct crowd *crowd = *state;
  struct client *client = open_client (crowd, 0, EG_CLIENT_IDLE, 1);

  client->holder.group = 1;
  crowd->now_us += EG_US_PER_S;
  assert_null (eg_client_memory_find_slot (&crowd->memory, 0, crowd->now_us));
  assert_ptr_equal (
      eg_client_memory_find_slot (&crowd->memory, 1, crowd->now_us),
      &client->holder);
}

static int
set_up (void **state)
{
  static struct crowd crowd;

  init_crowd (&crowd);
  *state = &crowd;
  return 0;
}

/* Guards against clients of the readiness port that keep their places by
 * sending one request after another, so that probes find none. */
static void
test_oldest_connection_gives_way_whatever_it_sends (void **state)
{
  static struct crowd crowd_memory;
  struct crowd *crowd = &crowd_memory;

  (void) state;
  init_crowd (crowd);
  assert_null (eg_client_memory_find_oldest (&crowd->memory, 0));
  for (size_t i = 0; i < 4; i++)
    {
      open_client (crowd, i, EG_CLIENT_RECEIVING, 1);
      crowd->now_us += MS;
    }
  for (size_t i = 0; i < 4; i++)
    {
      /* The oldest is the one that has made progress last. */
      eg_client_pace_moved (&crowd->clients[i].holder.pace, PIECE_BYTES, RATE,
                            crowd->now_us);
      assert_ptr_equal (eg_client_memory_find_oldest (&crowd->memory, 0),
                        &crowd->clients[i].holder);
      close_client (crowd, &crowd->clients[i]);
    }
  assert_null (eg_client_memory_find_oldest (&crowd->memory, 0));
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
      cmocka_unit_test_setup (test_stalled_bodies_give_way, set_up),
      cmocka_unit_test_setup (test_small_request_is_admitted_among_large_ones,
                              set_up),
      cmocka_unit_test_setup (test_order_of_closing, set_up),
      cmocka_unit_test_setup (test_connection_in_a_call_is_not_closed_by_a_body,
                              set_up),
      cmocka_unit_test_setup (test_large_request_is_served_alone, set_up),
      cmocka_unit_test_setup (test_crowd_gives_way_to_new_connections, set_up),
      cmocka_unit_test_setup (test_no_address_displaces_all_others, set_up),
      cmocka_unit_test_setup (test_ports_are_separate, set_up),
      cmocka_unit_test (test_oldest_connection_gives_way_whatever_it_sends),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
