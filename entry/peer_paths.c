#include "entry/peer_paths.h"

#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "base/log.h"
#include "entry/entry.h"

/* A VM whose ticks are later than this on average has no time for the requests
 * of others: its own callers' events would be late, too. */
#define LATENESS_MAX_US (50 * EG_US_PER_MS)
/* Fraction of the file descriptors that connections may use before requests of
 * other VMs are refused; clients may use more. */
#define CONNECTION_DESCRIPTORS_FRACTION 0.4

void
eg_peer_paths_init (struct eg_peer_paths *self, struct eg_entry *entry)
{
  memset (self, 0, sizeof *self);
  self->entry = entry;
}

static const struct eg_member *
member_from_link (const struct eg_list *link)
{
  return EG_CONTAINER_OF (link, struct eg_member, all);
}

const char *
eg_peer_paths_refusal (struct eg_peer_paths *self, int64_t now_us)
{
  struct eg_entry *entry = self->entry;

  if (entry->stop_us > 0)
    return "stopping";
  if (!eg_entry_has_configuration (entry))
    return "no-configuration";
  if (!eg_reach_watch_prove (&entry->reach_watch, now_us))
    return "no-path";
  if (entry->lateness_us > LATENESS_MAX_US
      || (double) eg_connections_count (&entry->connections)
             > CONNECTION_DESCRIPTORS_FRACTION
                   * (double) entry->settings->descriptors)
    return "no-room";
  return NULL;
}

static void
send_message (struct eg_peer_paths *self, struct eg_endpoint to, bool asks)
{
  const struct eg_entry *entry = self->entry;
  double unit =
      entry->settings->cpu_share > 0 ? 1 / entry->settings->cpu_share : 1;
  json_t *message = json_pack ("{s:s, s:b}", "kind", EG_PEER_PATHS_MESSAGE_KIND,
                               "asks", asks);
  char *text;

  if (!asks)
    {
      json_object_set_new (
          message, "serves",
          json_boolean (!eg_peer_paths_refusal (self, eg_clock_now_us ())));
      json_object_set_new (
          message, "load",
          json_real ((double) entry->connections.running * unit));
      json_object_set_new (message, "load_per_request", json_real (unit));
    }
  text = json_dumps (message, JSON_COMPACT | JSON_REAL_PRECISION (4));
  eg_load_gossip_send (&self->entry->load_gossip, to, text);
  free (text);
  json_decref (message);
}

void
eg_peer_paths_receive (struct eg_peer_paths *self,
                       struct eg_endpoint from,
                       const json_t *message,
                       int64_t now_us)
{
  uint64_t key = eg_endpoint_key (from);
  const struct eg_member *member =
      eg_members_find_endpoint (&self->entry->members, key);
  struct eg_peer_option answer;

  if (!member)
    return;
  if (json_is_true (json_object_get (message, "asks")))
    {
      send_message (self, from, false);
      return;
    }
  answer = (struct eg_peer_option){
      .peer = key,
      .same_domain = eg_members_is_local (&self->entry->members, member),
      .serves = json_is_true (json_object_get (message, "serves")),
      .load = json_number_value (json_object_get (message, "load")),
      .load_per_request =
          json_number_value (json_object_get (message, "load_per_request"))};
  eg_peer_choice_answered (&self->choice, &answer, now_us);
}

/* Asks random members of this VM's failure domain, or of the others. */
static void
ask_members (struct eg_peer_paths *self, bool same_domain, size_t count)
{
  const struct eg_list *all = &self->entry->members.all;
  size_t left = 0;

  for (const struct eg_list *at = all->next; at != all; at = at->next)
    left += eg_members_is_local (&self->entry->members, member_from_link (at))
            == same_domain;
  for (const struct eg_list *at = all->next; at != all && count > 0;
       at = at->next)
    {
      const struct eg_member *member = member_from_link (at);

      if (eg_members_is_local (&self->entry->members, member) != same_domain)
        continue;
      if (eg_random_below (&self->entry->random, left--) >= count)
        continue;
      count--;
      if (!eg_members_is_own (&self->entry->members, member->endpoint))
        send_message (self, member->endpoint, true);
    }
}

void
eg_peer_paths_check (struct eg_peer_paths *self, int64_t now_us)
{
  size_t count;

  if (self->entry->fleet.reach.state != EG_REACH_OK)
    eg_peer_choice_need (&self->choice, now_us);
  count = eg_peer_choice_check (&self->choice, now_us);
  ask_members (self, true, count - count / 2);
  ask_members (self, false, count / 2);
}

/* Chooses a random member of which nothing is known yet. */
static const struct eg_member *
guess_peer (struct eg_peer_paths *self,
            const uint64_t *tried,
            size_t tried_count,
            int64_t now_us)
{
  const struct eg_list *all = &self->entry->members.all;
  const struct eg_member *chosen[2] = {NULL, NULL};
  uint64_t seen[2] = {0, 0};

  for (const struct eg_list *at = all->next; at != all; at = at->next)
    {
      const struct eg_member *member = member_from_link (at);
      bool same_domain = eg_members_is_local (&self->entry->members, member);
      uint64_t key = eg_endpoint_key (member->endpoint);
      bool was_tried =
          eg_members_is_own (&self->entry->members, member->endpoint);

      for (size_t i = 0; i < tried_count; i++)
        was_tried |= tried[i] == key;
      if (!was_tried && eg_peer_choice_may_guess (&self->choice, key, now_us)
          && eg_random_below (&self->entry->random, ++seen[same_domain]) == 0)
        chosen[same_domain] = member;
    }
  return chosen[true] ? chosen[true] : chosen[false];
}

const struct eg_member *
eg_peer_paths_choose (struct eg_peer_paths *self,
                      const uint64_t *tried,
                      size_t tried_count,
                      int64_t now_us)
{
  uint64_t peer;

  eg_peer_choice_need (&self->choice, now_us);
  peer = eg_peer_choice_take (&self->choice, tried, tried_count,
                              &self->entry->random, now_us);
  if (peer == 0)
    return guess_peer (self, tried, tried_count, now_us);
  return eg_members_find_endpoint (&self->entry->members, peer);
}

void
eg_peer_paths_failed (struct eg_peer_paths *self,
                      struct eg_endpoint peer,
                      int64_t now_us)
{
  eg_peer_choice_failed (&self->choice, eg_endpoint_key (peer), now_us);
}

void
eg_peer_paths_refused (struct eg_peer_paths *self,
                       struct eg_endpoint peer,
                       int64_t now_us)
{
  eg_peer_choice_refused (&self->choice, eg_endpoint_key (peer), now_us);
}
