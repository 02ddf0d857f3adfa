/* soak_proxy.h -- a TCP proxy that delays, silences, cuts and resets what
   passes.  */

#ifndef TESTS_SOAK_PROXY_H
#define TESTS_SOAK_PROXY_H

#include <glib.h>

enum proxy_mode
{
  PROXY_PASS,
  PROXY_DELAY,   /* Each part passes delay_ms later.  */
  PROXY_SILENT,  /* Nothing passes, connections stay open.  */
  PROXY_ONE_WAY, /* Only what clients send passes.  */
  PROXY_RESET,   /* Connections are reset.  */
  PROXY_MODE_COUNT
};

struct soak_proxy;

/* Starts a proxy from port PORT to port TO, both of loopback.  */
struct soak_proxy *soak_proxy_start (guint16 port, guint16 to);
/* Sets the mode; DELAY_MS is that of PROXY_DELAY.  What was held passes when
   the mode becomes PROXY_PASS.  */
void soak_proxy_set (struct soak_proxy *p, enum proxy_mode mode,
                     guint delay_ms);
void soak_proxy_stop (struct soak_proxy *p);

const gchar *proxy_mode_name (enum proxy_mode mode);
/* Returns whether NAME is the name of a mode, which *MODE becomes.  */
gboolean proxy_mode_parse (const gchar *name, enum proxy_mode *mode);

#endif
