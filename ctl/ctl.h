/* ctl.h -- interface between the modules of fulmartackctl.  */

#ifndef FTK_CTL_CTL_H
#define FTK_CTL_CTL_H

#include "adapter/finding.h"
#include "adapter/http_client.h"
#include "core/control.h"

#include <jansson.h>

/** Most entries in the options and the settings together.  */
#define ENTRY_LIMIT_COUNT 64

/** Exit codes of fulmartackctl.  */
enum exit_code
{
  EXIT_DONE = 0,         /**< Success; config diff: no difference.  */
  EXIT_REFUSED = 1,      /**< Rejected; config diff: a difference.  */
  EXIT_BAD_DOCUMENT = 2, /**< A file is invalid or cannot be read.  */
  EXIT_UNREACHABLE = 3,  /**< The log or an entry did not answer.  */
  EXIT_NOT_IN_FORCE = 4, /**< config apply: applied, but not yet confirmed
                            by every member.  */
  EXIT_USAGE_ERROR = 64  /**< Wrong arguments.  */
};

/** Options and arguments.  */
struct ctl
{
  char log_address[ADDRESS_BYTES];
  char entries[ENTRY_LIMIT_COUNT][ADDRESS_BYTES];
  uint32_t entry_count;
  bool json;
  bool follow;      /**< timeline: keep printing new notes.  */
  uint32_t wait_ms; /**< config apply: timeout for the members to confirm
                         the version.  */
  char **arguments; /**< Command and its arguments.  */
  int argument_count;
};

/** Result of one command in the log.  */
struct command_result
{
  char id[ID_BYTES]; /**< Id of the command, set by the caller.  */
  bool seen;         /**< The command is in the log.  */
  bool applied;      /**< The command was applied, not rejected.  */
  uint64_t offset;   /**< Offset of its first record.  */
};

/** Calls METHOD on http://ADDRESS, followed by PATH, with BODY (NULL: none),
   for at most 5 s.  Returns the JSON answer, which the caller releases, or
   NULL; *STATUS is the HTTP status, 0 without an answer.  */
json_t *ctl_call (const char *method, const char *address, const char *path,
                  const json_t *body, uint32_t *status);

/** Like ctl_call, for at most LIMIT_MS.  */
json_t *ctl_call_with_timeout (const char *method, const char *address,
                               const char *path, const json_t *body,
                               uint32_t *status, uint32_t limit_ms);

/** Reads the whole log and returns the control state, a talloc child of MEM,
    or prints the error and returns NULL.  */
struct control *ctl_read_log (TALLOC_CTX *mem, const struct ctl *c);

/** Like ctl_read_log, and sets F to the result of the command with its id.  */
struct control *ctl_read_command_result (TALLOC_CTX *mem, const struct ctl *c,
                                         struct command_result *f);

/** Returns the members of S sorted by VM, an array that is a talloc child of
    MEM.  */
const struct member **ctl_sorted_members (TALLOC_CTX *mem,
                                          const struct control *s);

/** Appends RECORD to the log, up to 5 times until the append is confirmed.
    Prints a message and returns false if it was not.  */
bool ctl_append (const struct ctl *c, const json_t *record);

/** Appends R with F's id and reads the log to set F to its result.  Returns
    the state, a talloc child of MEM, or prints the error and returns NULL if
    the log cannot be read or lacks the command.  */
struct control *ctl_publish (TALLOC_CTX *mem, const struct ctl *c,
                             struct record *r, struct command_result *f);

/** Writes a new random command id to ID (ID_BYTES).  */
void ctl_make_command_id (char *id);

/** Reads the addresses of the log and the entries from the JSON file FILE;
    prints its findings and returns false if there are any.  */
bool ctl_read_settings (struct ctl *c, const char *file);

/** Without entries in the options or settings, takes the addresses of the
    members in the log.  Returns false if the log cannot be read.  */
bool ctl_find_entries (struct ctl *c);

/** Prints J and a newline, and releases J.  */
void ctl_print_json (json_t *j, size_t flags);

/** Reads the tables from the file named by the third argument and returns
    them, a talloc child of MEM, or prints the findings and returns NULL.  */
struct config *ctl_read_tables (TALLOC_CTX *mem, struct ctl *c);

/* The commands.  Each returns an exit code (enum exit_code).  */

int ctl_config (struct ctl *c);
int ctl_config_apply (TALLOC_CTX *mem, struct ctl *c);
int ctl_config_diff (TALLOC_CTX *mem, struct ctl *c);

/** Returns the changes from the tables A (NULL: none) to B as a JSON array,
    which the caller releases.  */
json_t *ctl_compare_tables (const struct config *a, const struct config *b);

int ctl_key (struct ctl *c);
int ctl_status (struct ctl *c);
int ctl_timeline (struct ctl *c);
int ctl_submit (struct ctl *c);
int ctl_replay (struct ctl *c);
int ctl_wave (struct ctl *c);
int ctl_vm (struct ctl *c);
int ctl_pool (struct ctl *c);
int ctl_zone (struct ctl *c);

#endif
