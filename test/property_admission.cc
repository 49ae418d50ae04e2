/* Properties of the admission queues of a service. */
#include <rapidcheck.h>

#include <algorithm>
#include <cstdlib>
#include <cstring>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "base/clock.h"
#include "policy/admission.h"
#include "policy/fair_queue.h"

namespace
{

const int64_t FAR_US = INT64_C (1) << 60;

struct class_spec
{
  const char *name;
  int priority;
  double floor;
};

eg_admission_config
make_config (const std::vector<class_spec> &classes, uint64_t quantum)
{
  eg_admission_config config = {};

  for (const class_spec &spec : classes)
    {
      eg_admission_class &target = config.classes[config.class_count++];

      std::strncpy (target.name, spec.name, sizeof target.name - 1);
      target.priority = spec.priority;
      target.floor = spec.floor;
      target.queue_max = 1000000;
    }
  config.organisation_queue_max = 1000000;
  config.quantum = quantum;
  return config;
}

struct free_admission
{
  void
  operator() (eg_admission *self) const
  {
    eg_admission_free (self);
  }
};
using admission_ptr = std::unique_ptr<eg_admission, free_admission>;

admission_ptr
make_admission (const eg_admission_config &config)
{
  return admission_ptr (eg_admission_new (&config));
}

/* Returns a copy of the name that is never freed. */
eg_str
intern (const std::string &name)
{
  static std::set<std::string> names;
  const std::string &kept = *names.insert (name).first;

  return {kept.data (), kept.size ()};
}

eg_admission_item
make_item (uint64_t request,
           unsigned class_index,
           const std::string &organisation,
           uint64_t cost)
{
  eg_admission_item item = {};

  item.request = request;
  item.class_index = class_index;
  item.organisation = intern (organisation);
  item.cost = cost;
  item.deadline_us = FAR_US;
  return item;
}

eg_refusal
offer (eg_admission *admission, const eg_admission_item &item, int64_t now_us)
{
  int64_t retry_after_us = -1;
  eg_refusal refusal =
      eg_admission_offer (admission, &item, now_us, &retry_after_us);

  RC_ASSERT ((refusal == EG_REFUSAL_NONE) == (retry_after_us == 0));
  return refusal;
}

std::string
text (eg_str s)
{
  return std::string (s.data, s.len);
}

int
draw (int low, int high)
{
  return *rc::gen::inRange (low, high);
}

/* A queued request, as it must be dequeued. */
struct expected
{
  std::string organisation;
  std::string class_name;
  uint64_t cost;
  int64_t deadline_us;
};

/* Random operations, checked against a map of the queued requests. */
class queue_model
{
public:
  queue_model ()
      : configs{make_config ({{"a", 1, 0}, {"b", 2, 0.2}, {"c", 3, 0.1}}, 100),
                make_config ({{"c", 1, 0.5}, {"a", 2, 0}}, 3),
                make_config ({{"d", 1, 0}}, 5000)},
        admission (make_admission (configs[0]))
  {
  }

  void
  step ()
  {
    static void (queue_model::*const steps[]) () = {
        &queue_model::add,    &queue_model::add,        &queue_model::add,
        &queue_model::take,   &queue_model::requeue,    &queue_model::expire,
        &queue_model::remove, &queue_model::reconfigure};

    now_us += draw (0, 50);
    (this->*steps[draw (0, 8)]) ();
    check_depths ();
  }

  void
  drain ()
  {
    while (!waiting.empty ())
      take ();
    take ();
    check_depths ();
  }

private:
  void
  add ()
  {
    const eg_admission_config &config = configs[current];
    unsigned index =
        static_cast<unsigned> (draw (0, static_cast<int> (config.class_count)));
    std::string name (1, static_cast<char> ('p' + draw (0, 4)));
    eg_admission_item item = make_item (++last_request, index, name,
                                        static_cast<uint64_t> (draw (1, 500)));

    item.deadline_us = now_us + draw (-5, 500);
    if (offer (admission.get (), item, now_us) != EG_REFUSAL_NONE)
      RC_ASSERT (item.deadline_us <= now_us);
    else
      waiting[item.request] = {name, config.classes[index].name, item.cost,
                               item.deadline_us};
  }

  void
  check_dequeued (const eg_admission_item &item)
  {
    auto found = waiting.find (item.request);

    RC_ASSERT (found != waiting.end ());
    RC_ASSERT (text (item.organisation) == found->second.organisation);
    RC_ASSERT (configs[current].classes[item.class_index].name
               == found->second.class_name);
    RC_ASSERT (item.cost == found->second.cost);
    RC_ASSERT (item.deadline_us == found->second.deadline_us);
    waiting.erase (found);
  }

  void
  take ()
  {
    eg_admission_item item;

    RC_ASSERT (eg_admission_take (admission.get (), now_us, &item)
               == !waiting.empty ());
    if (waiting.size ())
      check_dequeued (item);
  }

  /* Requeues a request after another one was taken. */
  void
  requeue ()
  {
    eg_admission_item item;

    if (!eg_admission_take (admission.get (), now_us, &item))
      return;
    item.organisation = intern (text (item.organisation));
    take_if_any ();
    eg_admission_requeue (admission.get (), &item);
  }

  void
  take_if_any ()
  {
    eg_admission_item item;

    if (eg_admission_take (admission.get (), now_us, &item))
      check_dequeued (item);
  }

  void
  expire ()
  {
    eg_admission_item item;
    int64_t first = FAR_US;

    for (const auto &entry : waiting)
      first = std::min (first, entry.second.deadline_us);
    RC_ASSERT (eg_admission_take_expired (admission.get (), now_us, &item)
               == (first <= now_us));
    if (first > now_us)
      return;
    RC_ASSERT (item.deadline_us == first);
    check_dequeued (item);
  }

  void
  remove ()
  {
    uint64_t request =
        static_cast<uint64_t> (draw (1, static_cast<int> (last_request) + 2));

    RC_ASSERT (eg_admission_remove (admission.get (), request)
               == (waiting.erase (request) == 1));
  }

  void
  reconfigure ()
  {
    current = static_cast<unsigned> (draw (0, 3));
    RC_ASSERT (eg_admission_configure (admission.get (), &configs[current]));
    for (auto &entry : waiting)
      if (!has_class (entry.second.class_name))
        entry.second.class_name =
            configs[current].classes[configs[current].class_count - 1].name;
  }

  bool
  has_class (const std::string &name) const
  {
    for (size_t i = 0; i < configs[current].class_count; i++)
      if (name == configs[current].classes[i].name)
        return true;
    return false;
  }

  void
  check_depths () const
  {
    for (unsigned i = 0; i < EG_CLASSES_MAX; i++)
      {
        auto in_class = [&] (const auto &entry) {
          return i < configs[current].class_count
                 && entry.second.class_name == configs[current].classes[i].name;
        };

        RC_ASSERT (eg_admission_depth (admission.get (), i)
                   == static_cast<size_t> (std::count_if (
                       waiting.begin (), waiting.end (), in_class)));
      }
  }

  std::vector<eg_admission_config> configs;
  unsigned current = 0;
  admission_ptr admission;
  std::map<uint64_t, expected> waiting;
  uint64_t last_request = 0;
  int64_t now_us = 0;
};

void
every_request_leaves_once ()
{
  queue_model run;

  for (int i = 0; i < 150; i++)
    run.step ();
  run.drain ();
}

/* Organisations 0 and 1 are always backlogged; the others become idle and
   return. */
void
organisations_share_by_cost ()
{
  const int quantum = draw (1, 300);
  const int cost_max = draw (1, 400);
  const int count = draw (2, 6);
  admission_ptr admission = make_admission (
      make_config ({{"a", 1, 0}}, static_cast<uint64_t> (quantum)));
  std::vector<int64_t> served (static_cast<size_t> (count));
  std::map<std::string, uint64_t> last_request;
  uint64_t request = 0;
  int64_t ahead_min = 0;
  int64_t ahead_max = 0;
  auto add = [&] (int organisation) {
    uint64_t cost = static_cast<uint64_t> (draw (1, cost_max + 1));

    RC_ASSERT (
        offer (admission.get (),
               make_item (++request, 0, std::to_string (organisation), cost), 0)
        == EG_REFUSAL_NONE);
  };

  for (int i = 0; i < count; i++)
    add (i);
  add (0);
  add (1);
  for (int i = 0; i < 300; i++)
    {
      eg_admission_item item;
      int taken;

      RC_ASSERT (eg_admission_take (admission.get (), 0, &item));
      RC_ASSERT (item.request > last_request[text (item.organisation)]);
      last_request[text (item.organisation)] = item.request;
      taken = std::atoi (text (item.organisation).c_str ());
      served[static_cast<size_t> (taken)] += static_cast<int64_t> (item.cost);
      add (taken);
      ahead_min = std::min (ahead_min, served[0] - served[1]);
      ahead_max = std::max (ahead_max, served[0] - served[1]);
      RC_ASSERT (std::abs (served[0] - served[1]) < quantum + cost_max);
      RC_ASSERT (ahead_max - ahead_min < quantum + 2 * cost_max);
      for (int64_t other : served)
        RC_ASSERT (other - served[0] <= quantum + 2 * cost_max);
    }
}

/* Classes become backlogged and idle at random; in half of the runs, the first
   class is always backlogged. */
class floor_model
{
public:
  floor_model ()
  {
    static const char *const names[] = {"a", "b", "c", "d"};

    for (int i = 0; i < count; i++)
      specs.push_back ({names[i], i, i ? draw (0, 34) / 100.0 : 0.0});
    for (const class_spec &spec : specs)
      lower_floors += spec.floor;
    admission = make_admission (make_config (specs, 50));
  }

  void
  step ()
  {
    eg_admission_item item;

    for (unsigned i = 0; i < specs.size (); i++)
      add_requests (i);
    if (!eg_admission_take (admission.get (), 0, &item))
      return;
    check_strict (item);
    for (unsigned i = 0; i < specs.size (); i++)
      check_floor (i, item);
  }

private:
  void
  add_requests (unsigned i)
  {
    if (depth (i) == 0)
      lag[i] = lag_min[i] = 0;
    if (draw (0, 20) == 0)
      active[i] = !active[i];
    if (i == 0 && first_always_active)
      active[i] = true;
    if (active[i] && (depth (i) == 0 || draw (0, 3) == 0))
      offer (admission.get (),
             make_item (++request, i, "x",
                        static_cast<uint64_t> (draw (1, cost_max + 1))),
             0);
  }

  /* Only a class with a floor may precede a backlogged higher class. */
  void
  check_strict (const eg_admission_item &item)
  {
    for (unsigned i = 0; i < item.class_index; i++)
      if (depth (i) > 0)
        RC_ASSERT (specs[item.class_index].floor > 0);
    total += static_cast<double> (item.cost);
    if (item.class_index > 0)
      lower += static_cast<double> (item.cost);
    if (first_always_active)
      RC_ASSERT (lower <= lower_floors * total + (count - 1) * cost_max);
  }

  /* The lag of a class is the share of the served cost that its floor grants,
     less the cost that it was served. Its lag since any earlier time is at most
     the rise above the minimum so far. */
  void
  check_floor (unsigned i, const eg_admission_item &item)
  {
    lag[i] += specs[i].floor * static_cast<double> (item.cost);
    if (i == item.class_index)
      lag[i] -= static_cast<double> (item.cost);
    if (depth (i) > 0)
      RC_ASSERT (lag[i] - lag_min[i] <= count * cost_max);
    lag_min[i] = std::min (lag_min[i], lag[i]);
  }

  size_t
  depth (unsigned i) const
  {
    return eg_admission_depth (admission.get (), i);
  }

  const int count = draw (2, 5);
  const int cost_max = draw (1, 200);
  const bool first_always_active = draw (0, 2) == 1;
  std::vector<class_spec> specs;
  admission_ptr admission;
  bool active[EG_CLASSES_MAX] = {};
  double lag[EG_CLASSES_MAX] = {};
  double lag_min[EG_CLASSES_MAX] = {};
  double total = 0;
  double lower = 0;
  double lower_floors = 0;
  uint64_t request = 0;
};

void
classes_get_their_floor_and_no_more ()
{
  floor_model run;

  for (int i = 0; i < 300; i++)
    run.step ();
}

/* The credit of a class is discarded when its queue becomes empty. */
void
idle_class_has_no_credit ()
{
  const uint64_t cost = static_cast<uint64_t> (draw (2, 1000));
  admission_ptr admission =
      make_admission (make_config ({{"a", 1, 0}, {"b", 2, 0.5}}, 10));
  const unsigned order[] = {0, 1, 0, 0, 1};
  eg_admission_item item;

  offer (admission.get (), make_item (1, 0, "x", cost * 10), 0);
  offer (admission.get (), make_item (2, 0, "x", cost), 0);
  offer (admission.get (), make_item (3, 1, "x", 1), 0);
  for (unsigned expected_class : order)
    {
      RC_ASSERT (eg_admission_take (admission.get (), 0, &item));
      RC_ASSERT (item.class_index == expected_class);
      if (item.request != 2)
        continue;
      offer (admission.get (), make_item (4, 0, "x", cost), 0);
      offer (admission.get (), make_item (5, 1, "x", 1), 0);
    }
}

/* Serves requests at a constant rate, until an estimate of it exists. */
void
observe_rate (eg_admission *admission, uint64_t rate_per_s, int64_t *now_us)
{
  const int64_t step_us = 10 * EG_US_PER_MS;

  RC_ASSERT (offer (admission, make_item (UINT64_MAX, 0, "warm-up", 1), *now_us)
             == EG_REFUSAL_NONE);
  for (int i = 0; i < 300; i++)
    {
      *now_us += step_us;
      eg_admission_record_served (admission, rate_per_s / 100, *now_us);
    }
  RC_ASSERT (eg_admission_remove (admission, UINT64_MAX));
}

/* With one organisation and strict classes, the work ahead is known exactly. */
void
late_requests_are_refused ()
{
  const uint64_t rate_per_s = 100 * static_cast<uint64_t> (draw (1, 1000));
  const unsigned target = static_cast<unsigned> (draw (0, 3));
  const int waiting = draw (0, 50);
  admission_ptr admission = make_admission (
      make_config ({{"a", 1, 0}, {"b", 2, 0}, {"c", 3, 0}}, 10));
  eg_admission_item item = make_item (1000, target, "x", 5);
  int64_t now_us = EG_US_PER_S;
  double ahead = 0;
  double wait_us;

  item.deadline_us = now_us;
  RC_ASSERT (offer (admission.get (), item, now_us) == EG_REFUSAL_DEADLINE);
  observe_rate (admission.get (), rate_per_s, &now_us);
  /* Idle time must not change the rate. */
  now_us += draw (0, 10) * EG_US_PER_S;
  for (int i = 0; i < waiting; i++)
    {
      unsigned index = static_cast<unsigned> (draw (0, 3));
      uint64_t cost = static_cast<uint64_t> (draw (100, 2000));

      offer (admission.get (),
             make_item (static_cast<uint64_t> (i) + 1, index, "x", cost),
             now_us);
      if (index <= target)
        ahead += static_cast<double> (cost);
    }
  wait_us = ahead * EG_US_PER_S / static_cast<double> (rate_per_s);
  item.deadline_us = now_us + static_cast<int64_t> (wait_us * 0.9);
  if (ahead > 0)
    RC_ASSERT (offer (admission.get (), item, now_us) == EG_REFUSAL_DEADLINE);
  item.deadline_us = now_us + static_cast<int64_t> (wait_us * 1.1) + 1;
  RC_ASSERT (offer (admission.get (), item, now_us) == EG_REFUSAL_NONE);
}

/* Compares the estimated wait with the cost that is actually served first. */
void
estimate_is_close_to_the_cost_served_before ()
{
  const uint64_t rate_per_s = 1000;
  const int quantum = draw (50, 200);
  const int organisations = draw (1, 8);
  admission_ptr admission = make_admission (
      make_config ({{"a", 1, 0}}, static_cast<uint64_t> (quantum)));
  eg_admission_item item = make_item (1000, 0, "0", 40);
  int64_t now_us = 0;
  double before = 0;
  double estimate;

  observe_rate (admission.get (), rate_per_s, &now_us);
  for (int i = 0; i < 100; i++)
    offer (admission.get (),
           make_item (static_cast<uint64_t> (i) + 1, 0,
                      std::to_string (draw (0, organisations)),
                      static_cast<uint64_t> (draw (1, 50))),
           now_us);
  estimate =
      static_cast<double> (eg_admission_estimate (admission.get (), &item))
      * static_cast<double> (rate_per_s) / EG_US_PER_S;
  RC_ASSERT (offer (admission.get (), item, now_us) == EG_REFUSAL_NONE);
  for (;;)
    {
      eg_admission_item taken;

      RC_ASSERT (eg_admission_take (admission.get (), now_us, &taken));
      if (taken.request == item.request)
        break;
      before += static_cast<double> (taken.cost);
    }
  /* The error is at most a quantum and one request per other organisation, but
     the power-of-two buckets may count an organisation at twice its cost. */
  RC_ASSERT (estimate >= before * 0.98 - organisations * (quantum + 50));
  RC_ASSERT (estimate <= 2.04 * before + organisations * (quantum + 50));
}

void
no_deadline_refusals_without_a_rate ()
{
  admission_ptr admission = make_admission (make_config ({{"a", 1, 0}}, 10));

  for (uint64_t i = 1; i <= 50; i++)
    {
      eg_admission_item item =
          make_item (i, 0, "x", static_cast<uint64_t> (draw (1, 1 << 30)));

      item.deadline_us = 1 + draw (0, 10);
      RC_ASSERT (offer (admission.get (), item, 0) == EG_REFUSAL_NONE);
    }
}

void
queues_are_bounded ()
{
  eg_admission_config config = make_config ({{"a", 1, 0}, {"b", 1, 0}}, 10);
  std::map<std::pair<unsigned, std::string>, size_t> own;
  std::vector<size_t> depth (2);

  config.classes[0].queue_max = static_cast<size_t> (draw (0, 30));
  config.classes[1].queue_max = static_cast<size_t> (draw (0, 30));
  config.organisation_queue_max = static_cast<size_t> (draw (0, 10));
  admission_ptr admission = make_admission (config);
  for (uint64_t i = 1; i <= 100; i++)
    {
      unsigned index = static_cast<unsigned> (draw (0, 2));
      std::string name = std::to_string (draw (0, 5));
      bool fits = depth[index] < config.classes[index].queue_max
                  && own[{index, name}] < config.organisation_queue_max;

      RC_ASSERT (offer (admission.get (), make_item (i, index, name, 1), 0)
                 == (fits ? EG_REFUSAL_NONE : EG_REFUSAL_QUEUE_FULL));
      depth[index] += fits;
      own[{index, name}] += fits;
    }
}

/* A take that is undone must not change the order of later takes. */
void
requeue_undoes_the_last_take ()
{
  const eg_admission_config config =
      make_config ({{"a", 1, 0}, {"b", 2, 0.3}, {"c", 3, 0.2}}, 20);
  admission_ptr reference = make_admission (config);
  admission_ptr tested = make_admission (config);

  for (uint64_t i = 1; i <= 80; i++)
    {
      eg_admission_item item = make_item (
          i, static_cast<unsigned> (draw (0, 3)), std::to_string (draw (0, 4)),
          static_cast<uint64_t> (draw (1, 100)));

      offer (reference.get (), item, 0);
      offer (tested.get (), item, 0);
    }
  for (int i = 0; i < 80; i++)
    {
      eg_admission_item item;
      eg_admission_item other;

      for (int undone = draw (0, 3); undone > 0; undone--)
        {
          RC_ASSERT (eg_admission_take (tested.get (), 0, &item));
          eg_admission_requeue (tested.get (), &item);
        }
      RC_ASSERT (eg_admission_take (reference.get (), 0, &item));
      RC_ASSERT (eg_admission_take (tested.get (), 0, &other));
      RC_ASSERT (item.request == other.request);
    }
}

/* Each organisation counts with its queued cost, but at most with the cost that
   it is served in the rounds before the new request. The result may be up to
   twice the sum, as the buckets are powers of two. */
void
cost_ahead_counts_rounds ()
{
  const uint64_t quantum = static_cast<uint64_t> (draw (1, 100));
  const uint64_t cost = static_cast<uint64_t> (draw (1, 200));
  std::vector<uint64_t> waiting (8);
  std::vector<eg_fair_request> requests (40);
  const std::string own = "0";
  eg_fair_queue queue;
  uint64_t exact = 0;
  uint64_t total = 0;
  uint64_t rounds;
  uint64_t ahead;

  RC_ASSERT (eg_fair_queue_init (&queue, quantum));
  for (eg_fair_request &request : requests)
    {
      int organisation = draw (0, 8);
      std::string name = std::to_string (organisation);

      request.cost =
          static_cast<uint64_t> (draw (1, organisation > 4 ? 5000 : 50));
      waiting[static_cast<size_t> (organisation)] += request.cost;
      RC_ASSERT (
          eg_fair_queue_push (&queue, {name.data (), name.size ()}, &request));
    }
  rounds = (waiting[0] + cost + quantum - 1) / quantum;
  for (uint64_t other : waiting)
    {
      exact += std::min (other, rounds * quantum);
      total += other;
    }
  ahead = eg_fair_queue_cost_ahead (&queue, {own.data (), own.size ()}, cost);
  for (eg_fair_request &request : requests)
    std::free (eg_fair_queue_remove (&queue, &request));
  eg_fair_queue_finish (&queue);
  RC_ASSERT (ahead >= exact);
  RC_ASSERT (ahead <= 2 * exact);
  RC_ASSERT (ahead <= total);
}

void
table_holds_only_backlogged_organisations ()
{
  eg_fair_queue queue;
  std::vector<eg_fair_request> requests (200);
  std::vector<eg_fair_request *> waiting;

  RC_ASSERT (eg_fair_queue_init (&queue, 10));
  for (eg_fair_request &request : requests)
    {
      std::string name = std::to_string (draw (0, 150));

      request.cost = static_cast<uint64_t> (draw (1, 50));
      RC_ASSERT (
          eg_fair_queue_push (&queue, {name.data (), name.size ()}, &request));
      waiting.push_back (&request);
    }
  while (!waiting.empty ())
    {
      size_t i = *rc::gen::inRange<size_t> (0, waiting.size ());

      std::free (eg_fair_queue_remove (&queue, waiting[i]));
      waiting.erase (waiting.begin () + static_cast<std::ptrdiff_t> (i));
      RC_ASSERT (queue.organisations.count <= waiting.size ());
      RC_ASSERT (queue.organisations.bucket_count
                 <= 16 + 16 * queue.organisations.count);
      RC_ASSERT (queue.heap.count == queue.organisations.count);
    }
  RC_ASSERT (queue.queued_cost == 0);
  eg_fair_queue_finish (&queue);
}

} // namespace

int
main ()
{
  bool passed = true;

  passed &= rc::check ("every request leaves exactly once",
                       every_request_leaves_once);
  passed &=
      rc::check ("organisations share by cost", organisations_share_by_cost);
  passed &= rc::check ("classes get their floor and no more",
                       classes_get_their_floor_and_no_more);
  passed &= rc::check ("an idle class has no credit", idle_class_has_no_credit);
  passed &= rc::check ("requests that would miss their deadline are refused",
                       late_requests_are_refused);
  passed &= rc::check ("the estimate is close to the cost served before",
                       estimate_is_close_to_the_cost_served_before);
  passed &=
      rc::check ("without a known rate, no request is refused for its deadline",
                 no_deadline_refusals_without_a_rate);
  passed &= rc::check ("queues are bounded", queues_are_bounded);
  passed &= rc::check ("requeueing undoes the last take",
                       requeue_undoes_the_last_take);
  passed &=
      rc::check ("the cost ahead counts rounds", cost_ahead_counts_rounds);
  passed &=
      rc::check ("the table holds only organisations with queued requests",
                 table_holds_only_backlogged_organisations);
  return passed ? EXIT_SUCCESS : EXIT_FAILURE;
}
