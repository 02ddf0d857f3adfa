/* entry.c -- the public interface: creates, starts and ends the duties of one
   entry.  */

#include "fulmartack.h"

#include "adapter/config_json.h"
#include "adapter/decide.h"
#include "adapter/fleet_client.h"
#include "adapter/front.h"
#include "adapter/log_client.h"
#include "adapter/peer_mesh.h"
#include "adapter/settings.h"
#include "adapter/site_entry.h"
#include "adapter/stop_wait.h"
#include "adapter/timeline.h"
#include "adapter/worker_client.h"
#include "port/stop_times.h"

#include <curl/curl.h>
#include <errno.h>
#include <sodium.h>
#include <string.h>

/** Longest wait, after a planned stop, for appends still pending.  */
#define FLUSH_LIMIT_MS 3000

struct ftk_entry
{
  struct site_entry *site; /**< Set on the users' platform, where all other
                              pointers but settings_file are NULL.  */
  struct settings *settings;
  struct timeline *timeline;
  struct decide *decide;
  struct worker_client *workers;
  struct log_client *log;
  struct peer_mesh *peer_mesh;
  struct fleet_client *fleet; /**< NULL if the settings name no fleet list.  */
  struct front *front;
  struct recorder *recorder; /**< NULL unless the run is recorded.  */
  char *settings_file;
  /** The front duty reports to it when every response is sent, then the log
      duty when no append is pending.  */
  struct stop_wait *stop;
  char message[TEXT_BYTES];
};

const char *
ftk_version (void)
{
  return FTK_VERSION;
}

const char *
ftk_status_text (ftk_status s)
{
  switch (s)
    {
    case FTK_OK:
      return "success";
    case FTK_NO_MEMORY:
      return "out of memory, threads or descriptors";
    case FTK_BAD_SETTINGS:
      return "settings refused";
    case FTK_BAD_TABLES:
      return "tables refused";
    case FTK_CANNOT_LISTEN:
      return "cannot listen";
    case FTK_CANNOT_RECORD:
      return "cannot record";
    case FTK_STOP_OVERDUE:
      return "stop took too long";
    }
  return "unknown status";
}

ftk_status
ftk_settings_check (const char *file, FILE *report)
{
  TALLOC_CTX *tmp = talloc_new (NULL);
  struct findings *f;
  bool good = site_settings_match (file)
                  ? site_settings_read (tmp, file, &f) != NULL
                  : settings_read (tmp, file, &f) != NULL;

  findings_print (f, report);
  talloc_free (tmp);
  return good ? FTK_OK : FTK_BAD_SETTINGS;
}

ftk_status
ftk_tables_check (const char *file, FILE *report)
{
  TALLOC_CTX *tmp = talloc_new (NULL);
  struct findings *f;
  struct config *c = config_from_file (tmp, file, &f);

  findings_print (f, report);
  talloc_free (tmp);
  return c != NULL ? FTK_OK : FTK_BAD_TABLES;
}

static void
make_core_settings (const struct settings *s, struct core_settings *c)
{
  text_copy (c->vm, NAME_BYTES, s->vm);
  text_copy (c->zone, NAME_BYTES, s->zone);
  text_copy (c->peer_address, ADDRESS_BYTES, s->peer_listen_address);
  text_copy (c->operator_address, ADDRESS_BYTES, s->listen_address);
  randombytes_buf (&c->boot_id, sizeof c->boot_id);
  c->stop_limit_ms = s->stop_limit_ms;
  c->log_age_limit_ms = s->log_age_limit_ms;
  c->max_body_bytes = s->max_body_bytes;
}

static ftk_status
make_recorder (ftk_entry *e, const char *trace, const struct core_settings *c)
{
  if (trace == NULL)
    return FTK_OK;
  e->recorder = recorder_open (trace, c);
  if (e->recorder == NULL)
    {
      snprintf (e->message, TEXT_BYTES, "trace file %.100s: %s", trace,
                strerror (errno));
      return FTK_CANNOT_RECORD;
    }
  decide_set_recorder (e->decide, e->recorder);
  return FTK_OK;
}

/* Creates every duty and connects their rings; starts none.  */
static ftk_status
make_duties (ftk_entry *e, const char *trace)
{
  struct core_settings c = { 0 };
  struct decide_outputs o = { 0 };
  struct ring *decide;

  make_core_settings (e->settings, &c);
  e->timeline = timeline_new (e->settings->vm);
  e->decide = decide_new (&c);
  if (e->timeline == NULL || e->decide == NULL)
    return FTK_NO_MEMORY;
  decide = decide_duty (e->decide)->inbound;
  if (make_recorder (e, trace, &c) != FTK_OK)
    return FTK_CANNOT_RECORD;
  e->workers = worker_client_new (decide);
  e->log = log_client_new (e->settings->log_address, decide);
  if (e->workers == NULL || e->log == NULL)
    return FTK_NO_MEMORY;
  e->peer_mesh = peer_mesh_new (e->settings, decide, e->message);
  if (e->peer_mesh == NULL)
    return FTK_CANNOT_LISTEN;
  e->front = front_new (e->settings, decide, e->timeline,
                        stop_wait_ring (e->stop), e->message);
  if (e->front == NULL)
    return FTK_CANNOT_LISTEN;
  if (e->settings->fleet_address[0] != '\0')
    {
      e->fleet = fleet_client_new (e->settings->fleet_address, decide);
      if (e->fleet == NULL)
        return FTK_NO_MEMORY;
      o.fleet = fleet_client_duty (e->fleet)->inbound;
    }
  o.front = front_duty (e->front)->inbound;
  o.worker_client = worker_client_duty (e->workers)->inbound;
  o.log = log_client_duty (e->log)->inbound;
  o.peer = peer_mesh_duty (e->peer_mesh)->inbound;
  o.timeline = e->timeline;
  decide_set_outputs (e->decide, &o);
  return FTK_OK;
}

static ftk_status
start_duties (ftk_entry *e)
{
  log_client_follow (e->log);
  if (e->recorder != NULL && !duty_start (recorder_duty (e->recorder)))
    return FTK_NO_MEMORY;
  if (duty_start (timeline_duty (e->timeline))
      && duty_start (worker_client_duty (e->workers))
      && duty_start (peer_mesh_duty (e->peer_mesh))
      && duty_start (decide_duty (e->decide))
      && duty_start (log_client_duty (e->log))
      && (e->fleet == NULL || duty_start (fleet_client_duty (e->fleet)))
      && duty_start (front_duty (e->front)))
    return FTK_OK;
  return FTK_NO_MEMORY;
}

static ftk_status
reject_settings (ftk_entry *e, const struct findings *f)
{
  snprintf (e->message, TEXT_BYTES, "findings in %.100s: %u", e->settings_file,
            f->item_count);
  return FTK_BAD_SETTINGS;
}

/* Opens an entry on the users' platform, whose settings name a store.  */
static ftk_status
open_site_entry (ftk_entry *e, const char *file, FILE *report)
{
  struct findings *f;
  struct site_settings *s = site_settings_read (e, file, &f);
  bool bind_failed;

  findings_print (f, report);
  if (s == NULL)
    return reject_settings (e, f);
  e->site = site_entry_open (s, e->message, &bind_failed);
  if (e->site != NULL)
    return FTK_OK;
  return bind_failed ? FTK_CANNOT_LISTEN : FTK_NO_MEMORY;
}

ftk_status
ftk_entry_open (const char *file, FILE *report, ftk_entry **entry)
{
  return ftk_entry_open_recorded (file, NULL, report, entry);
}

ftk_status
ftk_entry_open_recorded (const char *file, const char *trace, FILE *report,
                         ftk_entry **entry)
{
  ftk_entry *e = talloc_zero (NULL, ftk_entry);
  struct findings *f;
  ftk_status s;

  *entry = e;
  if (e == NULL || sodium_init () < 0)
    return FTK_NO_MEMORY;
  curl_global_init (CURL_GLOBAL_DEFAULT);
  e->settings_file = talloc_strdup (e, file);
  if (site_settings_match (file))
    return open_site_entry (e, file, report);
  e->settings = settings_read (e, file, &f);
  findings_print (f, report);
  if (e->settings == NULL)
    return reject_settings (e, f);
  e->stop = stop_wait_new (e);
  if (e->stop == NULL)
    return FTK_NO_MEMORY;
  s = make_duties (e, trace);
  if (s == FTK_OK)
    s = start_duties (e);
  return s;
}

ftk_status
ftk_entry_reload (ftk_entry *e, FILE *report)
{
  TALLOC_CTX *tmp = talloc_new (NULL);
  struct findings *f;
  struct site_settings *s;

  /* Only an entry on the users' platform can reload; any other reads its
     settings only at start.  */
  if (e->site == NULL)
    {
      talloc_free (tmp);
      return FTK_OK;
    }
  s = site_settings_read (tmp, e->settings_file, &f);
  findings_print (f, report);
  if (s != NULL)
    site_entry_reload (e->site, s);
  talloc_free (tmp);
  return s != NULL ? FTK_OK : FTK_BAD_SETTINGS;
}

uint32_t
ftk_entry_stop (ftk_entry *e)
{
  uint32_t limit_ms;

  if (e->site != NULL)
    return stop_exit_ms (site_entry_stop (e->site));
  limit_ms = e->settings->stop_limit_ms;
  stop_wait_begin (e->stop, stop_end_us (limit_ms));
  decide_stop (e->decide);
  return stop_exit_ms (limit_ms);
}

/* Notes how many requests are cut because the time of the stop is over.  */
static void
note_cut (ftk_entry *e)
{
  struct action_note n = { .kind = NOTE_REQUESTS_CUT };

  text_copy (n.subject, NAME_BYTES, e->settings->vm);
  n.value = front_open_count (e->front);
  timeline_add (e->timeline, &n);
}

ftk_status
ftk_entry_run (ftk_entry *e)
{
  struct log_request *x;
  bool complete;

  if (e->site != NULL)
    {
      site_entry_run (e->site);
      return FTK_OK;
    }
  complete = stop_wait_run (e->stop);
  duty_stop (front_duty (e->front));
  if (!complete)
    note_cut (e);
  x = talloc_zero (NULL, struct log_request);
  x->flushed_ring = stop_wait_ring (e->stop);
  if (ring_push (log_client_duty (e->log)->inbound, x))
    stop_wait_run_for (e->stop, FLUSH_LIMIT_MS);
  else
    talloc_free (x);
  return FTK_OK;
}

const char *
ftk_entry_message (const ftk_entry *e)
{
  return e->message;
}

void
ftk_entry_close (ftk_entry *e)
{
  if (e == NULL)
    return;
  site_entry_close (e->site);
  if (e->front != NULL)
    duty_stop (front_duty (e->front));
  if (e->workers != NULL)
    duty_stop (worker_client_duty (e->workers));
  if (e->log != NULL)
    duty_stop (log_client_duty (e->log));
  if (e->fleet != NULL)
    duty_stop (fleet_client_duty (e->fleet));
  if (e->peer_mesh != NULL)
    duty_stop (peer_mesh_duty (e->peer_mesh));
  if (e->decide != NULL)
    duty_stop (decide_duty (e->decide));
  if (e->timeline != NULL)
    duty_stop (timeline_duty (e->timeline));
  if (e->recorder != NULL)
    duty_stop (recorder_duty (e->recorder));
  front_free (e->front);
  worker_client_free (e->workers);
  log_client_free (e->log);
  fleet_client_free (e->fleet);
  peer_mesh_free (e->peer_mesh);
  decide_free (e->decide);
  timeline_free (e->timeline);
  recorder_close (e->recorder);
  talloc_free (e);
}
