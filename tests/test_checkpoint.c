/* test_checkpoint.c -- state restored from an encoded checkpoint is the same.

   An entry that finds the beginning of the log dropped builds its state from a
   checkpoint.  A field that the encoder or the decoder misses would leave it
   with a state other than that of its peers.  */

#include "tests/records.h"

#include "adapter/record_json.h"
#include "core/control.h"
#include "core/vm_control.h"

#include <glib.h>
#include <sodium.h>
#include <string.h>

static const char *const base_records[] = {
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

/* Applied after the records above: w3 moves to p without a drain, a wave
   drains w1, which one of the two entries has confirmed, w2 is drained for a
   move, and w3 is lost.  */
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

/* Two zones are evacuated, and the first returns.  */
static const char *const zone_records[] = {
  "{\"id\":\"c1\",\"kind\":\"config\",\"tables\":{\"base_version\":0,"
  "\"teams\":[],\"pools\":[{\"name\":\"p\",\"vms\":["
  "{\"name\":\"w1\",\"address\":\"127.0.0.1:1\",\"zone\":\"za\"},"
  "{\"name\":\"w2\",\"address\":\"127.0.0.1:2\",\"zone\":\"zb\"},"
  "{\"name\":\"w3\",\"address\":\"127.0.0.1:3\"}]}],\"routes\":[]}}",
  "{\"id\":\"z1\",\"kind\":\"zone_evacuate\",\"zone\":\"za\"}",
  "{\"id\":\"z2\",\"kind\":\"zone_evacuate\",\"zone\":\"zb\"}",
  "{\"id\":\"z3\",\"kind\":\"zone_return\",\"zone\":\"za\"}",
};

/* Rejected after the records above: no VM has the zone, it is evacuated
   already, or it is not evacuated.  */
static const char *const rejected_zone_records[] = {
  "{\"id\":\"z4\",\"kind\":\"zone_evacuate\",\"zone\":\"zc\"}",
  "{\"id\":\"z5\",\"kind\":\"zone_evacuate\",\"zone\":\"zb\"}",
  "{\"id\":\"z6\",\"kind\":\"zone_return\",\"zone\":\"za\"}",
};

/* Applies the records in JSON_TEXTS at the next offsets of C.  */
static void
apply_records (struct control *c, const char *const *json_texts, guint count)
{
  guint i;

  for (i = 0; i < count; i++)
    {
      json_t *j = json_loads (json_texts[i], 0, NULL);
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

  apply_records (c, base_records, G_N_ELEMENTS (base_records));
  return c;
}

/* Encodes C's checkpoint to JSON and returns the record decoded from it.  */
static struct record *
decode_checkpoint (const struct control *c)
{
  json_t *j = records_checkpoint (c);
  struct record *read = record_from_json (NULL, j);

  json_decref (j);
  g_assert_nonnull (read);
  return read;
}

/* Checks that a state restored from C's checkpoint has C's digest.  */
static void
check_round_trip (const struct control *c)
{
  struct control *other = control_new (NULL);
  struct record *r = decode_checkpoint (c);
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
test_round_trip (void)
{
  struct control *empty = control_new (NULL);
  struct control *c = make_control ();
  guint i;

  check_round_trip (empty);
  check_round_trip (c);
  /* A VM that moves to another pool keeps its row, so w3 is still row 2.  */
  for (i = 0; i < G_N_ELEMENTS (vm_records); i++)
    {
      apply_records (c, &vm_records[i], 1);
      check_round_trip (c);
    }
  g_assert_cmpuint (c->config->vms[2].pool_index, ==, 0);
  g_assert_cmpuint (c->vm_control->vms[0].drained_by_count, ==, 1);
  g_assert_true (c->vm_control->vms[2].lost);
  talloc_free (c);
  talloc_free (empty);
}

/* An entry that is restored from a checkpoint knows the evacuated zones, and a
   VM without a zone is in none of them.  */
static void
test_zones (void)
{
  struct control *c = control_new (NULL);
  guint i;

  for (i = 0; i < G_N_ELEMENTS (zone_records); i++)
    {
      apply_records (c, &zone_records[i], 1);
      check_round_trip (c);
    }
  for (i = 0; i < G_N_ELEMENTS (rejected_zone_records); i++)
    {
      json_t *j = json_loads (rejected_zone_records[i], 0, NULL);
      struct record *r = record_from_json (NULL, j);

      g_assert_nonnull (r);
      g_assert_cmpint (control_apply (c, c->next_offset, r), ==,
                       APPLY_REJECTED);
      talloc_free (r);
      json_decref (j);
    }
  check_round_trip (c);
  g_assert_false (vm_control_is_evacuated (c, 0));
  g_assert_true (vm_control_is_evacuated (c, 1));
  g_assert_false (vm_control_is_evacuated (c, 2));
  talloc_free (c);
}

/* A command whose id is known only from the checkpoint is not applied again.
 */
static void
test_repeated_command (void)
{
  struct control *c = make_control ();
  struct control *other = control_new (NULL);
  struct record *r = decode_checkpoint (c);
  struct record withdraw = { .kind = RECORD_KEY_WITHDRAW };

  text_copy (withdraw.id, ID_BYTES, "g1");
  g_assert_true (control_restore (other, r->u.checkpoint));
  memcpy (withdraw.u.key.digest, other->keys[0].digest, DIGEST_BYTES);
  g_assert_cmpint (control_apply (other, 5, &withdraw), ==, APPLY_DUPLICATE);
  g_assert_cmpuint (other->key_count, ==, 1);
  talloc_free (r);
  talloc_free (other);
  talloc_free (c);
}

/* Only the newest REMEMBERED_COMMAND_COUNT command ids are kept.  */
static void
test_id_limit (void)
{
  struct control *c = control_new (NULL);
  gchar id[ID_BYTES];
  guint i;

  for (i = 0; i <= REMEMBERED_COMMAND_COUNT; i++)
    {
      g_snprintf (id, sizeof id, "id-%u", i);
      g_assert_true (control_add_command_id (c, id));
    }
  g_assert_cmpuint (g_hash_table_size (c->command_id_set), ==,
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
  g_test_add_func ("/checkpoint/zones", test_zones);
  g_test_add_func ("/checkpoint/round_trip", test_round_trip);
  g_test_add_func ("/checkpoint/repeated_command", test_repeated_command);
  g_test_add_func ("/checkpoint/id_limit", test_id_limit);
  return g_test_run ();
}
