/* test_checkpoint.c -- a checkpoint through its coding gives the same state.
 */

#include "tests/records.h"

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
  "{\"id\":\"l2\",\"kind\":\"leave\",\"vm\":\"e2\",\"incarnation\":4}",
};

/* Behind the records above: w3 moves to p at once, w1 is half drained in a
   wave, w2 is drained for a move, and w3 is lost.  */
static const char *const vm_records[] = {
  "{\"id\":\"j3\",\"kind\":\"join\",\"vm\":\"e3\"}",
  "{\"id\":\"m1\",\"kind\":\"move\",\"vm\":\"w3\",\"from\":\"s\",\"to\":"
  "\"p\"}",
  "{\"id\":\"v1\",\"kind\":\"wave_start\",\"wave\":\"w\",\"targets\":["
  "\"p\"]}",
  "{\"id\":\"d3\",\"kind\":\"drain\",\"vm\":\"w1\",\"wave\":\"w\"}",
  "{\"id\":\"d4\",\"kind\":\"vm_drained\",\"vm\":\"w1\",\"incarnation\":3,"
  "\"drain_id\":9}",
  "{\"id\":\"m2\",\"kind\":\"move\",\"vm\":\"w2\",\"from\":\"p\",\"to\":"
  "\"s\"}",
  "{\"id\":\"v2\",\"kind\":\"vm_lost\",\"vm\":\"w3\"}",
};

static void
apply_texts (struct control *c, const char *const *texts, guint count)
{
  guint i;

  for (i = 0; i < count; i++)
    {
      json_t *j = json_loads (texts[i], 0, NULL);
      struct record *r = record_from_json (NULL, j);

      g_assert_nonnull (r);
      g_assert_cmpint (control_apply (c, c->next_offset, r), ==, APPLY_OK);
      talloc_free (r);
      json_decref (j);
    }
}

static struct control *
make_control (void)
{
  struct control *c = control_new (NULL);

  apply_texts (c, records, G_N_ELEMENTS (records));
  return c;
}

/* Returns C's checkpoint as another entry reads it.  */
static struct record *
send_checkpoint (const struct control *c)
{
  json_t *j = records_checkpoint (c);
  struct record *read = record_from_json (NULL, j);

  json_decref (j);
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

  guint i;

  check_round (empty);
  check_round (c);
  /* A VM that moves to another pool keeps its row.  */
  for (i = 0; i < G_N_ELEMENTS (vm_records); i++)
    {
      apply_texts (c, &vm_records[i], 1);
      check_round (c);
    }
  g_assert_cmpuint (c->config->vms[2].pool_index, ==, 0);
  g_assert_cmpuint (c->vm_control->vms[0].drained_by_count, ==, 1);
  g_assert_true (c->vm_control->vms[2].lost);
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
  g_assert_cmpint (control_apply (other, 5, &leave), ==, APPLY_DUPLICATE);
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

  for (i = 0; i <= REMEMBERED_COMMAND_COUNT; i++)
    {
      g_snprintf (id, sizeof id, "id-%u", i);
      g_assert_true (control_add_command_id (c, id));
    }
  g_assert_cmpuint (g_hash_table_size (c->applied_ids), ==,
                    REMEMBERED_COMMAND_COUNT);
  g_assert_false (control_add_command_id (c, id));
  g_assert_true (control_add_command_id (c, "id-0"));
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
