/* soak_client.h -- clients of an entry that use a connection until it is
   closed, and some that send or read slowly.  */

#ifndef TESTS_SOAK_CLIENT_H
#define TESTS_SOAK_CLIENT_H

#include <glib.h>
#include <pthread.h>

enum soak_kind
{
  SOAK_ASKS,         /* Asks for a state, waits gap_ms, and so on.  */
  SOAK_SUBMITS,      /* Submits jobs until each is accepted or refused.  */
  SOAK_SLOW_BODY,    /* Sends a body slowly, and never its last byte.  */
  SOAK_SLOW_HEADERS, /* Sends headers slowly, and never their end.  */
  SOAK_UNREAD,       /* Asks again and again, and reads no answer.  */
  SOAK_IDLE,         /* Opens a connection and sends nothing.  */
  SOAK_KIND_COUNT
};

/* How a request ended.  */
enum request_end
{
  REQUEST_ANSWERED,
  REQUEST_CUT,     /* The connection ended without a whole answer.  */
  REQUEST_LATE,    /* No answer in CLIENT_LIMIT_MS.  */
  REQUEST_NOT_SENT /* No connection.  */
};

#define CLIENT_LIMIT_MS 3000u

struct request_record
{
  gint64 sent_at_us; /* Monotonic.  */
  gint64 ended_at_us;
  enum request_end end;
  guint status; /* 0 unless answered.  */
  guint port;
  guint job; /* Number of the job that it is about.  */
  enum soak_kind by;
};

/* What clients do and saw.  Several clients share it.  */
struct client_log
{
  pthread_mutex_t lock; /* TSan does not follow those of GLib.  */
  GArray *records;      /* struct request_record.  */
};

struct soak_client
{
  GThread *thread;
  enum soak_kind kind;
  const gchar *head; /* Request line and headers of a request that is slow or
                        unread, without an empty line; NULL: by the kind.  */
  guint16 ports[10]; /* One entry after the other, for SOAK_SUBMITS.  */
  guint port_count;
  guint gap_ms;
  guint job;          /* The job it asks for, or the first that it submits.  */
  gint64 began_at_us; /* Of the play, for the caller.  */
  gint stop;          /* Atomic.  */
  struct client_log *log;
};

const gchar *soak_kind_name (enum soak_kind kind);
/* Returns whether NAME is the name of a kind, which *KIND becomes.  */
gboolean soak_kind_parse (const gchar *name, enum soak_kind *kind);

/* Starts the thread of C.  */
void soak_client_start (struct soak_client *c);
/* Ends it.  */
void soak_client_join (struct soak_client *c);

/* Returns the path of the job NUMBER.  */
gchar *soak_job_path (guint number);

#endif
