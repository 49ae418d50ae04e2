#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>

#include <arpa/inet.h>
#include <cmocka.h>

#include "test/soak/ports.h"
#include "test/soak/proxy.h"

#define PORT_MAX 29999

static void
soak_leaves_fixed_ports_of_tests_alone (void **state)
{
  const long fixture = strtol (EG_TEST_PORTS "00", NULL, 10);
  long last = 9999;

  (void) state;
  for (unsigned i = 0; i < SOAK_PORT_COUNT; i++)
    {
      long port = soak_port (i);

      assert_true (port > last && port <= PORT_MAX);
      assert_true (port < fixture || port >= fixture + 100);
      assert_true (port < 13000 || port >= 13500);
      last = port;
    }
  assert_int_equal (last, PORT_MAX);
}

static void
port_is_not_drawn_twice (void **state)
{
  uint16_t port;

  (void) state;
  port = soak_find_free_port ();
  assert_false (soak_reserve_port (port));
  soak_release_ports ();
  assert_true (soak_reserve_port (port));
  soak_release_ports ();
}

static void
assert_is_reserved (struct eg_endpoint endpoint)
{
  assert_in_range (ntohs (endpoint.port), 10000, PORT_MAX);
  assert_false (soak_reserve_port (ntohs (endpoint.port)));
}

/* Guards against a path that does not listen again after a cut because another
 * process has taken its port. */
static void
port_of_a_cut_path_is_kept (void **state)
{
  const struct eg_endpoint target = {htonl (INADDR_LOOPBACK), htons (9)};
  struct soak_proxy proxy;
  uv_loop_t loop;

  (void) state;
  assert_int_equal (uv_loop_init (&loop), 0);
  soak_proxy_open (&proxy, &loop, target);
  for (int cut = SOAK_CUT_HANG; cut < SOAK_CUT_COUNT; cut++)
    {
      struct eg_endpoint before = proxy.endpoint;

      soak_proxy_cut (&proxy, (enum soak_cut) cut);
      assert_is_reserved (proxy.endpoint);
      soak_proxy_cut (&proxy, SOAK_CUT_NONE);
      assert_non_null (proxy.listener);
      assert_int_equal (proxy.endpoint.port, before.port);
    }
  soak_proxy_close (&proxy);
  uv_run (&loop, UV_RUN_DEFAULT);
  assert_int_equal (uv_loop_close (&loop), 0);
  soak_release_ports ();
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
      cmocka_unit_test (soak_leaves_fixed_ports_of_tests_alone),
      cmocka_unit_test (port_is_not_drawn_twice),
      cmocka_unit_test (port_of_a_cut_path_is_kept),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
