/* client.c -- client of the cases 6 to 10.

   client call METHOD URL KEY HOST [BODY]
     makes one call and prints its status, 0 if there was no answer, and body.

   client load RECORD PORTS KEY HOST PREFIX RATE SECONDS BODY
     hands in RATE jobs a second for SECONDS, each under a new id, at the
     entries on PORTS (separated by commas) by turns.  A call without an answer
     within 3 s, or answered 502 or 504, is repeated under its id at the next
     entry, 4 times at most.  Writes each call to RECORD, and prints how many
     jobs were handed in, accepted (2xx), refused and not answered, and the ids
     of the accepted ones to RECORD.ids.  */

#include <curl/curl.h>
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define DEADLINE_MS 3000L
#define CONNECT_MS 1000L
#define ATTEMPT_COUNT 5
#define RETRY_MS 250
#define THREAD_COUNT 96

struct load
{
  FILE *record;
  FILE *ids;
  char **ports;
  guint port_count;
  const char *key;
  const char *host;
  const char *prefix;
  const char *body;
  gint64 began_us;
  gint accepted;
  gint refused;
  gint unanswered;
};

static GMutex lock;

static size_t
keep_body (char *data, size_t size, size_t count, void *state)
{
  g_string_append_len (state, data, (gssize)(size * count));
  return size * count;
}

/* Makes a call; returns its status, 0 without an answer.  */
static long
call (CURL *c, const char *method, const char *url, const char *key,
      const char *host, const char *body, GString *answer)
{
  struct curl_slist *h = NULL;
  char *line;
  long status = 0;

  line = g_strdup_printf ("Host: %s", host);
  h = curl_slist_append (h, line);
  g_free (line);
  line = g_strdup_printf ("Authorization: Bearer %s", key);
  h = curl_slist_append (h, line);
  g_free (line);
  h = curl_slist_append (h, "Content-Type: application/json");
  h = curl_slist_append (h, "X-Fulmartack-Deadline-Ms: 3000");
  h = curl_slist_append (h, "Expect:");
  curl_easy_reset (c);
  curl_easy_setopt (c, CURLOPT_URL, url);
  curl_easy_setopt (c, CURLOPT_PROXY, "");
  curl_easy_setopt (c, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (c, CURLOPT_HTTPHEADER, h);
  curl_easy_setopt (c, CURLOPT_CUSTOMREQUEST, method);
  if (body != NULL)
    curl_easy_setopt (c, CURLOPT_POSTFIELDS, body);
  curl_easy_setopt (c, CURLOPT_TIMEOUT_MS, DEADLINE_MS);
  curl_easy_setopt (c, CURLOPT_CONNECTTIMEOUT_MS, CONNECT_MS);
  curl_easy_setopt (c, CURLOPT_WRITEFUNCTION, keep_body);
  curl_easy_setopt (c, CURLOPT_WRITEDATA, answer);
  if (curl_easy_perform (c) == CURLE_OK)
    curl_easy_getinfo (c, CURLINFO_RESPONSE_CODE, &status);
  curl_slist_free_all (h);
  return status;
}

/* Hands in the job whose number is DATA.  */
static void
submit (gpointer data, gpointer state)
{
  struct load *l = state;
  guint n = GPOINTER_TO_UINT (data);
  char *id = g_strdup_printf ("%08x%08x", g_random_int (), g_random_int ());
  CURL *c = curl_easy_init ();
  long status = 0;
  int i;

  for (i = 0; i < ATTEMPT_COUNT; i++)
    {
      char *url = g_strdup_printf ("http://127.0.0.1:%s%s%s",
                                   l->ports[(n + (guint)i) % l->port_count],
                                   l->prefix, id);
      GString *answer = g_string_new ("");

      status = call (c, "POST", url, l->key, l->host, l->body, answer);
      g_mutex_lock (&lock);
      fprintf (l->record, "%8.3f client POST %s attempt %d status %ld\n",
               (double)(g_get_real_time () - l->began_us) / 1e6, id, i + 1,
               status);
      g_mutex_unlock (&lock);
      g_string_free (answer, TRUE);
      g_free (url);
      if (status != 0 && status != 502 && status != 504)
        break;
      g_usleep (RETRY_MS * 1000);
    }
  g_mutex_lock (&lock);
  if (status / 100 == 2)
    {
      l->accepted++;
      fprintf (l->ids, "%s\n", id);
    }
  else if (status == 0 || status == 502 || status == 504)
    l->unanswered++;
  else
    l->refused++;
  g_mutex_unlock (&lock);
  curl_easy_cleanup (c);
  g_free (id);
}

static int
run_load (char **a)
{
  struct load l = { .record = fopen (a[0], "a"),
                    .ports = g_strsplit (a[1], ",", -1),
                    .key = a[2],
                    .host = a[3],
                    .prefix = a[4],
                    .body = a[7] };
  char *name = g_strconcat (a[0], ".ids", NULL);
  double rate = g_ascii_strtod (a[5], NULL);
  guint count = (guint)(rate * g_ascii_strtod (a[6], NULL) + 0.5);
  GThreadPool *pool;
  guint i;

  l.ids = fopen (name, "a");
  if (l.record == NULL || l.ids == NULL)
    return 2;
  l.port_count = g_strv_length (l.ports);
  l.began_us = g_get_real_time ();
  pool = g_thread_pool_new (submit, &l, THREAD_COUNT, TRUE, NULL);
  for (i = 0; i < count; i++)
    {
      gint64 at_us = l.began_us + (gint64)(i * 1e6 / rate);

      if (at_us > g_get_real_time ())
        g_usleep ((gulong)(at_us - g_get_real_time ()));
      g_thread_pool_push (pool, GUINT_TO_POINTER (i + 1), NULL);
    }
  g_thread_pool_free (pool, FALSE, TRUE);
  fclose (l.record);
  fclose (l.ids);
  printf ("sent %u accepted %d refused %d unanswered %d\n", count, l.accepted,
          l.refused, l.unanswered);
  return 0;
}

int
main (int argc, char **argv)
{
  curl_global_init (CURL_GLOBAL_ALL);
  if (argc >= 6 && strcmp (argv[1], "call") == 0)
    {
      GString *answer = g_string_new ("");
      long status = call (curl_easy_init (), argv[2], argv[3], argv[4],
                          argv[5], argc > 6 ? argv[6] : NULL, answer);

      printf ("%ld %s\n", status, answer->str);
      return 0;
    }
  if (argc == 10 && strcmp (argv[1], "load") == 0)
    return run_load (argv + 2);
  return 2;
}
