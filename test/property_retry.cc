/* Properties of the retry budget. */
#include <rapidcheck.h>

#include <cstdlib>

#include "policy/retry.h"

namespace
{

int
draw (int low, int high)
{
  return *rc::gen::inRange (low, high);
}

eg_retry_config
draw_config ()
{
  eg_retry_config config = {};

  config.ratio = draw (0, 100) / 100.0;
  config.reserve = draw (0, 200) / 10.0;
  config.attempts_max = static_cast<unsigned> (draw (1, 6));
  config.backoff_min_us = draw (0, draw (0, 2) ? 20 : 1000);
  config.backoff_max_us = draw (1000, 5000);
  return config;
}

eg_retry_context
draw_context ()
{
  eg_retry_context context = {};

  context.ran = static_cast<eg_ran> (draw (EG_RAN_NO, EG_RAN_YES + 1));
  context.idempotent = draw (0, 2) == 1;
  context.attempts = static_cast<unsigned> (draw (1, 6));
  context.now_us = draw (0, 10000);
  /* Often so close that the back-off would end at the deadline. */
  context.deadline_us = context.now_us + draw (-10, draw (0, 2) ? 20 : 6000);
  return context;
}

void
retries_keep_to_budget_attempts_and_deadline ()
{
  const eg_retry_config config = draw_config ();
  eg_retry_budget budget;
  eg_random random;
  int first_attempts = 0;
  int retries = 0;

  eg_random_init (&random, static_cast<uint64_t> (draw (0, 1000)));
  eg_retry_budget_init (&budget, &config);
  for (int i = 0; i < 200; i++)
    {
      eg_retry_context context = draw_context ();
      int64_t delay_us = -1;

      if (draw (0, 2))
        {
          eg_retry_budget_earn (&budget);
          first_attempts++;
        }
      if (!eg_retry_budget_spend (&budget, &context, &random, &delay_us))
        continue;
      retries++;
      RC_ASSERT (retries
                 <= config.reserve + config.ratio * first_attempts + 1e-6);
      RC_ASSERT (context.attempts < config.attempts_max);
      RC_ASSERT (context.idempotent || context.ran == EG_RAN_NO);
      RC_ASSERT (delay_us >= 0);
      RC_ASSERT (context.now_us + delay_us < context.deadline_us);
      RC_ASSERT (delay_us <= config.backoff_max_us);
      RC_ASSERT (delay_us <= config.backoff_min_us << (context.attempts - 1));
    }
}

/* The reserve bounds a burst of retries, however many attempts came before. */
void
retries_are_granted_until_the_reserve_is_used_up ()
{
  eg_retry_config config = draw_config ();
  eg_retry_context context = {EG_RAN_NO, false, 1, 0, INT64_MAX};
  eg_retry_budget budget;
  eg_random random;
  int64_t delay_us;
  int retries = 0;

  config.attempts_max = 2;
  eg_random_init (&random, 1);
  eg_retry_budget_init (&budget, &config);
  for (int i = draw (0, 500); i > 0; i--)
    eg_retry_budget_earn (&budget);
  while (eg_retry_budget_spend (&budget, &context, &random, &delay_us))
    retries++;
  RC_ASSERT (retries == static_cast<int> (config.reserve));
}

/* Full jitter: delays are spread over the whole range, which doubles with each
   attempt. */
void
delays_spread_over_a_doubling_range ()
{
  const unsigned attempts = static_cast<unsigned> (draw (1, 5));
  const int64_t ceiling_us = INT64_C (1000) << (attempts - 1);
  const eg_retry_config config = {0, 1000, 10, 1000, 1000000};
  const eg_retry_context context = {EG_RAN_NO, false, attempts, 0, INT64_MAX};
  eg_retry_budget budget;
  eg_random random;
  int quarters[4] = {0};

  eg_random_init (&random, static_cast<uint64_t> (draw (0, 1000)));
  eg_retry_budget_init (&budget, &config);
  for (int i = 0; i < 200; i++)
    {
      int64_t delay_us;

      RC_ASSERT (eg_retry_budget_spend (&budget, &context, &random, &delay_us));
      quarters[delay_us * 4 / (ceiling_us + 1)]++;
    }
  for (int count : quarters)
    RC_ASSERT (count > 15);
}

} // namespace

int
main ()
{
  bool passed = true;

  passed &= rc::check ("retries keep to budget, attempts and deadline",
                       retries_keep_to_budget_attempts_and_deadline);
  passed &= rc::check ("retries are granted until the reserve is used up",
                       retries_are_granted_until_the_reserve_is_used_up);
  passed &= rc::check ("delays spread over a doubling range",
                       delays_spread_over_a_doubling_range);
  return passed ? EXIT_SUCCESS : EXIT_FAILURE;
}
