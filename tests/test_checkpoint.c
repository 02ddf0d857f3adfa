/* test_checkpoint.c -- a checkpoint through its coding gives the same state.
 */

#include "adapter/record_json.h"
#include "core/control.h"
#include "core/vm_control.h"

#include <glib.h>
#include <sodium.h>
#include <string.h>

static const char *const records[] = {
  "{\"id\":\"c1\",\"kind\":\"config\",\"tables\":{\"base_version\":0,"
  "\"teams\":[{\"name\":\"a\",\"share\":3,\"ceiling\":4}],\"pools\":[{"
  "\"name\":\"p\",\"unavailable\":2,\"domains\":3,\"vms\":["
  "{\"name\":\"w1\",\"address\":\"127.0.0.1:1\",\"rack\":\"r\",\"cpus\":8},"
  "{\"name\":\"w2\",\"address\":\"127.0.0.1:2\",\"accelerators\":1}]},"
  "{\"name\":\"s\",\"spare\":true,\"vms\":["
  "{\"name\":\"w3\",\"address\":\"127.0.0.1:3\",\"memory_mib\":77}]}],"
  "\"routes\":[{\"queue\":\"q\",\"pool\":\"p\",\"team\":\"a\",\"class\":"
  "\"job\",\"timeout_ms\":5},{\"queue\":\"b\",\"pool\":\"p\",\"open\":true,"
  "\"idempotent\":true,\"urgent\":true,\"hold_log_outage\":true}]}}",
  "{\"id\":\"g1\",\"kind\":\"key_grant\",\"team\":\"a\",\"digest\":"
  "\"623e5d17329d20549d5ebe7a2e8688b98ed7db0b8fb983b2b22a644c218313cd\"}",
  "{\"id\":\"j1\",\"kind\":\"join\",\"vm\":\"e1\",\"zone\":\"z\","
  "\"peer_address\":\"127.0.0.1:2\"}",
  "{\"id\":\"j2\",\"kind\":\"join\",\"vm\":\"e2\"}",
  "{\"id\":\"m1\",\"kind\":\"move\",\"vm\":\"w3\",\"from\":\"s\","
  "\"to\":\"p\"}",
  "{\"id\":\"v1\",\"kind\":\"wave_start\",\"wave\":\"k\",\"targets\":"
  "[\"p\"],\"parallel\":2,\"deadline_ms\":9}",
  "{\"id\":\"d1\",\"kind\":\"drain\",\"vm\":\"w1\",\"wave\":\"k\"}",
  "{\"id\":\"a1\",\"kind\":\"vm_drained\",\"vm\":\"w1\",\"drain_id\":7,"
  "\"incarnation\":3}",
  "{\"id\":\"o1\",\"kind\":\"vm_lost\",\"vm\":\"w2\"}",
  "{\"id\":\"l2\",\"kind\":\"leave\",\"vm\":\"e2\",\"incarnation\":4}",
};

static struct control *
make_control (void)
{
  struct control *c = control_new (NULL);
  guint i;

  for (i = 0; i < G_N_ELEMENTS (records); i++)
    {
      json_t *j = json_loads (records[i], 0, NULL);
      struct record *r = record_from_json (NULL, j);

      g_assert_cmpint (control_apply (c, i, r), ==, VERDICT_APPLIED);
      talloc_free (r);
      json_decref (j);
    }
  return c;
}

/* Returns C's checkpoint as another entry reads it.  */
static struct record *
send_checkpoint (const struct control *c)
{
  struct record *r = talloc_zero (NULL, struct record);
  struct record *read;
  json_t *j;

  r->kind = RECORD_CHECKPOINT;
  text_copy (r->id, ID_BYTES, "k1");
  r->u.checkpoint = control_checkpoint (c, r);
  j = record_to_json (r);
  read = record_from_json (NULL, j);
  json_decref (j);
  talloc_free (r);
  g_assert_nonnull (read);
  return read;
}

static void
check_round (const struct control *c)
{
  struct control *other = control_new (NULL);
  struct record *r = send_checkpoint (c);
  guint8 a[DIGEST_BYTES];
  guint8 b[DIGEST_BYTES];

  g_assert_cmpint (control_compare (c, r->u.checkpoint), ==, CHECKPOINT_SAME);
  g_assert_true (control_restore (other, r->u.checkpoint));
  control_digest (c, a);
  control_digest (other, b);
  g_assert_cmpmem (a, DIGEST_BYTES, b, DIGEST_BYTES);
  g_assert_cmpuint (other->next_offset, ==, c->next_offset);
  talloc_free (r);
  talloc_free (other);
}

static void
test_round (void)
{
  struct control *empty = control_new (NULL);
  struct control *c = make_control ();

  check_round (empty);
  check_round (c);
  /* A VM moves to another pool and keeps its row.  */
  c->config->vms[0].pool_index = 1;
  text_copy (c->vm_control->vms[0].pool, NAME_BYTES, "s");
  check_round (c);
  talloc_free (c);
  talloc_free (empty);
}

/* A repeat of a command that only the checkpoint tells of counts once.  */
static void
test_repeat (void)
{
  struct control *c = make_control ();
  struct control *other = control_new (NULL);
  struct record *r = send_checkpoint (c);
  struct record leave = { .kind = RECORD_KEY_WITHDRAW };

  text_copy (leave.id, ID_BYTES, "g1");
  g_assert_true (control_restore (other, r->u.checkpoint));
  memcpy (leave.u.key.digest, other->keys[0].digest, DIGEST_BYTES);
  g_assert_cmpint (control_apply (other, 5, &leave), ==, VERDICT_REPEATED);
  g_assert_cmpuint (other->key_count, ==, 1);
  talloc_free (r);
  talloc_free (other);
  talloc_free (c);
}

/* Only the newest ids are kept.  */
static void
test_bound (void)
{
  struct control *c = control_new (NULL);
  gchar id[ID_BYTES];
  guint i;

  for (i = 0; i <= COMMAND_LIMIT_COUNT; i++)
    {
      g_snprintf (id, sizeof id, "id-%u", i);
      g_assert_true (control_remember (c, id));
    }
  g_assert_cmpuint (g_hash_table_size (c->applied_ids), ==,
                    COMMAND_LIMIT_COUNT);
  g_assert_false (control_remember (c, id));
  g_assert_true (control_remember (c, "id-0"));
  talloc_free (c);
}

int
main (int argc, char **argv)
{
  if (sodium_init () < 0)
    return 1;
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/checkpoint/round", test_round);
  g_test_add_func ("/checkpoint/repeat", test_repeat);
  g_test_add_func ("/checkpoint/bound", test_bound);
  return g_test_run ();
}
