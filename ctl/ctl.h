/* ctl.h -- what the commands of fulmartackctl share.  */

#ifndef FTK_CTL_CTL_H
#define FTK_CTL_CTL_H

#include "adapter/finding.h"
#include "adapter/http_client.h"
#include "core/control.h"

#include <jansson.h>

#define ENTRY_LIMIT_COUNT 64

/** Exit codes of fulmartackctl.  */
enum exit_code
{
  EXIT_DONE = 0,         /**< Done; config diff: no difference.  */
  EXIT_REFUSED = 1,      /**< Refused, or there is a difference.  */
  EXIT_BAD_DOCUMENT = 2, /**< The document has findings.  */
  EXIT_UNREACHABLE = 3,  /**< The log or an entry did not answer.  */
  EXIT_NOT_IN_FORCE = 4, /**< Published, but some member has not told yet.  */
  EXIT_USAGE_ERROR = 64  /**< Wrong arguments.  */
};

struct ctl
{
  char log_address[ADDRESS_BYTES];
  char entries[ENTRY_LIMIT_COUNT][ADDRESS_BYTES];
  uint32_t entry_count;
  bool json;
  bool follow;      /**< Timeline: go on with new notes.  */
  uint32_t wait_ms; /**< How long config apply waits for the members.  */
  char **arguments; /**< Command and its words.  */
  int argument_count;
};

/** What became of one command in the log.  */
struct command_result
{
  char id[ID_BYTES]; /**< The command, set by the caller.  */
  bool seen;         /**< It is in the log.  */
  bool applied;      /**< It was applied, not rejected.  */
  uint64_t offset;   /**< Where it was first seen.  */
};

/** Calls METHOD on http://ADDRESS/PATH with BODY (NULL: none) and returns the
    JSON answer, or NULL; the HTTP status goes to *STATUS.  */
json_t *ctl_call (const char *method, const char *address, const char *path,
                  const json_t *body, uint32_t *status);

/** As ctl_call, but waits LIMIT_MS at most.  */
json_t *ctl_call_with_timeout (const char *method, const char *address,
                               const char *path, const json_t *body,
                               uint32_t *status, uint32_t limit_ms);

/** Reads the whole log into a control state as a child of MEM, or NULL.  */
struct control *ctl_read_log (TALLOC_CTX *mem, const struct ctl *c);

/** As ctl_read_log; F learns what became of its command.  */
struct control *ctl_read_command_result (TALLOC_CTX *mem, const struct ctl *c,
                                         struct command_result *f);

/** Returns the members of S sorted by VM, as a child of MEM.  */
const struct member **ctl_sorted_members (TALLOC_CTX *mem,
                                          const struct control *s);

/** Appends RECORD to the log; repeats it after a lost answer.  */
bool ctl_append (const struct ctl *c, const json_t *record);

/** Appends R under F's id and reads the log back.  Returns the state, a child
    of MEM, or NULL if the log did not answer or does not hold the command.  */
struct control *ctl_publish (TALLOC_CTX *mem, const struct ctl *c,
                             struct record *r, struct command_result *f);

/** Writes a fresh command id to ID (ID_BYTES).  */
void ctl_make_command_id (char *id);

/** Reads log and entries from the JSON file FILE; returns false after
    printing its findings.  */
bool ctl_read_settings (struct ctl *c, const char *file);

/** Without entries among the arguments, takes those of the members.  */
bool ctl_find_entries (struct ctl *c);

/** Prints J, whose reference it takes, on lines of its own.  */
void ctl_print_json (json_t *j, size_t flags);

/** Reads the tables named by the third argument as a child of MEM, or prints
    the findings and returns NULL.  */
struct config *ctl_read_tables (TALLOC_CTX *mem, struct ctl *c);

int ctl_config (struct ctl *c);
int ctl_config_apply (TALLOC_CTX *mem, struct ctl *c);
int ctl_config_diff (TALLOC_CTX *mem, struct ctl *c);

/** Returns the changes from the tables A (NULL: none) to B as JSON.  */
json_t *ctl_compare_tables (const struct config *a, const struct config *b);

int ctl_key (struct ctl *c);
int ctl_status (struct ctl *c);
int ctl_timeline (struct ctl *c);
int ctl_submit (struct ctl *c);
int ctl_replay (struct ctl *c);
int ctl_wave (struct ctl *c);
int ctl_vm (struct ctl *c);
int ctl_pool (struct ctl *c);

#endif
