/* Benchmark of the admission queues and limits with the expected number of
 * organisations: throughput of one thread, and memory use. Not run by ctest. */
#include <inttypes.h>
#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>

#include "base/clock.h"
#include "base/random.h"
#include "policy/admission.h"
#include "policy/limit.h"

#define ORGANISATIONS 9200
#define QUEUED_REQUESTS 10000
#define ROUNDS 1000000
#define COST_MAX 4000
#define DEADLINE_US (INT64_C (3600) * EG_US_PER_S)

struct bench_state
{
  struct eg_admission *admission;
  struct eg_limits *limits;
  struct eg_random random;
  char names[ORGANISATIONS][16];
  uint64_t last_request;
  int64_t now_us;
  uint64_t refused_count;
};

static struct eg_str
random_organisation (struct bench_state *self)
{
  return eg_str_from (
      self->names[eg_random_below (&self->random, ORGANISATIONS)]);
}

static void
offer_request (struct bench_state *self)
{
  struct eg_admission_item item = {
      .request = ++self->last_request,
      .class_index = (unsigned) eg_random_below (&self->random, 3),
      .organisation = random_organisation (self),
      .cost = 1 + eg_random_below (&self->random, COST_MAX),
      .arrived_us = self->now_us,
      .deadline_us =
          self->now_us + (int64_t) eg_random_below (&self->random, DEADLINE_US),
  };
  int64_t retry_after_us;

  if (eg_admission_offer (self->admission, &item, self->now_us, &retry_after_us)
      != EG_REFUSAL_NONE)
    self->refused_count++;
}

static void
take_request (struct bench_state *self)
{
  struct eg_admission_item item;

  if (!eg_admission_take (self->admission, self->now_us, &item))
    return;
  self->now_us += (int64_t) item.cost;
  eg_admission_record_served (self->admission, item.cost, self->now_us);
}

static size_t
heap_bytes (void)
{
  struct mallinfo2 info = mallinfo2 ();

  return info.uordblks + info.hblkhd;
}

static double
seconds_since (int64_t start_us)
{
  return (double) (eg_clock_now_us () - start_us) / EG_US_PER_S;
}

static void
bench_admission (struct bench_state *self, uint64_t quantum)
{
  struct eg_admission_config config = {
      .classes = {{"counter", 1, 0, QUEUED_REQUESTS},
                  {"normal", 2, 0.2, QUEUED_REQUESTS},
                  {"bulk", 3, 0.1, QUEUED_REQUESTS}},
      .class_count = 3,
      .organisation_queue_max = QUEUED_REQUESTS,
      .quantum = quantum,
  };
  size_t bytes = heap_bytes ();
  int64_t start_us;
  double seconds;

  self->admission = eg_admission_new (&config);
  self->refused_count = 0;
  for (int i = 0; i < QUEUED_REQUESTS; i++)
    offer_request (self);
  printf ("quantum %" PRIu64 ": %.0f bytes per request, %d queued\n", quantum,
          (double) (heap_bytes () - bytes) / QUEUED_REQUESTS, QUEUED_REQUESTS);
  start_us = eg_clock_now_us ();
  for (int i = 0; i < ROUNDS; i++)
    {
      take_request (self);
      offer_request (self);
    }
  seconds = seconds_since (start_us);
  printf ("quantum %" PRIu64 ": %.0f offers and takes per second, "
          "%.0f ns per pair, %" PRIu64 " of %d refused\n",
          quantum, ROUNDS / seconds, seconds / ROUNDS * 1e9,
          self->refused_count, ROUNDS);
  eg_admission_free (self->admission);
}

static void
bench_limits (struct bench_state *self)
{
  const struct eg_limit_rule rule = {1000, 100, 100};
  size_t bytes = heap_bytes ();
  int64_t start_us;
  int64_t retry_after_us;
  double seconds;

  self->limits = eg_limits_new (&rule);
  for (int i = 0; i < ORGANISATIONS; i++)
    eg_limits_set (self->limits, eg_str_from (self->names[i]), &rule);
  printf ("limits: %.0f bytes per organisation, %d organisations\n",
          (double) (heap_bytes () - bytes) / ORGANISATIONS, ORGANISATIONS);
  start_us = eg_clock_now_us ();
  for (int i = 0; i < ROUNDS; i++)
    {
      struct eg_str name = random_organisation (self);

      if (eg_limits_acquire (self->limits, name, i, &retry_after_us)
          == EG_REFUSAL_NONE)
        eg_limits_release (self->limits, name);
    }
  seconds = seconds_since (start_us);
  printf ("limits: %.0f acquires and releases per second\n", ROUNDS / seconds);
  eg_limits_free (self->limits);
}

int
main (void)
{
  struct bench_state *bench = calloc (1, sizeof *bench);

  if (!bench)
    return EXIT_FAILURE;
  eg_random_init (&bench->random, 20261203);
  for (int i = 0; i < ORGANISATIONS; i++)
    snprintf (bench->names[i], sizeof bench->names[i], "org-%d", i);
  bench_admission (bench, 1);
  bench_admission (bench, 500);
  bench_admission (bench, COST_MAX);
  bench_limits (bench);
  free (bench);
  return EXIT_SUCCESS;
}
