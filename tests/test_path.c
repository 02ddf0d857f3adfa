/* test_path.c -- requests through entry and worker processes, end to end.

   Guards against a body that is cut or changed on its way, against a request
   that gets another one's answer when many run at once, and against a refusal
   with the wrong status, code or "run" field.  */

#include "tests/cluster.h"

#include <pthread.h>
#include <signal.h>
#include <sodium.h>
#include <string.h>

#define LARGE_BYTES (8u << 20)
#define CONCURRENT_COUNT 64

static struct cluster *cluster;

/* Sends BODY to QUEUE at the first entry; the body of the result is the
   caller's.  */
static struct http_result
post (const gchar *queue, const gchar *key, struct blob *body)
{
  gchar *path = g_strconcat ("/v1/queues/", queue, NULL);
  struct http_result r;

  cluster_call ("POST", cluster_entry_port (cluster, 0), path, key, body, &r);
  g_free (path);
  return r;
}

/* Checks that a random body of SIZE bytes comes back byte for byte.  */
static void
check_echo (uint32_t size)
{
  struct blob *b = blob_new (size);
  struct http_result r;

  randombytes_buf (b->data, size);
  r = post ("tickets", "kandy-key", b);
  g_assert_cmpuint (r.status, ==, 200);
  g_assert_cmpmem (r.body->data, r.body->size_bytes, b->data, size);
  blob_unref (r.body);
  blob_unref (b);
}

static void
test_sizes (void)
{
  check_echo (0);
  check_echo (1);
  check_echo (LARGE_BYTES);
}

/* Checks that a request of SIZE bytes is refused with STATUS and CODE, and
   that the answer says it has not run.  */
static void
check_refusal (const gchar *queue, const gchar *key, uint32_t size,
               uint32_t status, const gchar *code)
{
  struct blob *b = blob_new (size);
  struct http_result r;
  json_t *j;

  memset (b->data, 'x', size);
  r = post (queue, key, b);
  g_assert_cmpuint (r.status, ==, status);
  j = json_loadb ((const char *)r.body->data, r.body->size_bytes, 0, NULL);
  g_assert_cmpstr (json_string_value (json_object_get (j, "code")), ==, code);
  g_assert_cmpstr (json_string_value (json_object_get (j, "run")), ==, "no");
  json_decref (j);
  blob_unref (r.body);
  blob_unref (b);
}

static void
test_refusals (void)
{
  check_refusal ("nothing", "kandy-key", 1, 404, "no_queue");
  check_refusal ("tickets", NULL, 1, 401, "no_key");
  check_refusal ("tickets", "other-key", 1, 401, "no_key");
  check_refusal ("plots", "kandy-key", 1, 403, "wrong_team");
  check_refusal ("tickets", "kandy-key", LARGE_BYTES + 1, 413, "too_large");
}

/* Sends a request with a text of its own and checks that this text comes back.
   The run times differ, so answers come in another order than requests.  */
static void *
send_concurrent (void *state)
{
  gchar *text = g_strdup_printf ("run_ms=%d caller=%d",
                                 GPOINTER_TO_INT (state) * 7 % 40,
                                 GPOINTER_TO_INT (state));
  struct blob *b = blob_copy (text, (uint32_t)strlen (text));
  struct http_result r = post ("tickets", "kandy-key", b);

  g_assert_cmpuint (r.status, ==, 200);
  g_assert_cmpmem (r.body->data, r.body->size_bytes, b->data, b->size_bytes);
  blob_unref (r.body);
  blob_unref (b);
  g_free (text);
  return NULL;
}

static void
test_concurrent (void)
{
  pthread_t t[CONCURRENT_COUNT];
  gint i;

  for (i = 0; i < CONCURRENT_COUNT; i++)
    pthread_create (&t[i], NULL, send_concurrent, GINT_TO_POINTER (i));
  for (i = 0; i < CONCURRENT_COUNT; i++)
    pthread_join (t[i], NULL);
}

int
main (int argc, char **argv)
{
  int code;

  cluster_init (&argc, &argv);
  cluster = cluster_start (3, 8);
  cluster_publish (cluster, 60);
  cluster_wait_version (cluster, 1);
  g_test_add_func ("/path/sizes", test_sizes);
  g_test_add_func ("/path/refusals", test_refusals);
  g_test_add_func ("/path/crossed", test_concurrent);
  code = g_test_run ();
  cluster_stop (cluster);
  return code;
}
