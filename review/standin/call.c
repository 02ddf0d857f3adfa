/* call.c -- one HTTP call of a client, for the scripts of the review.

   Usage: call METHOD URL TIMEOUT_MS BODY [HEADER ...].  An empty BODY sends
   none.  Prints the answer's body, and on a line of its own the status, 000 if
   there was no answer.  */

#include <curl/curl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

int
main (int argc, char **argv)
{
  CURL *c = curl_easy_init ();
  struct curl_slist *headers = curl_slist_append (NULL, "Expect:");
  long status = 0;
  int i;

  if (argc < 5 || c == NULL)
    return 2;
  for (i = 5; i < argc; i++)
    headers = curl_slist_append (headers, argv[i]);
  curl_easy_setopt (c, CURLOPT_URL, argv[2]);
  curl_easy_setopt (c, CURLOPT_PROXY, "");
  curl_easy_setopt (c, CURLOPT_TIMEOUT_MS, strtol (argv[3], NULL, 10));
  curl_easy_setopt (c, CURLOPT_HTTPHEADER, headers);
  if (strcmp (argv[1], "POST") == 0)
    curl_easy_setopt (c, CURLOPT_COPYPOSTFIELDS, argv[4]);
  else
    curl_easy_setopt (c, CURLOPT_CUSTOMREQUEST, argv[1]);
  if (curl_easy_perform (c) == CURLE_OK)
    curl_easy_getinfo (c, CURLINFO_RESPONSE_CODE, &status);
  printf ("\n%03ld", status);
  curl_slist_free_all (headers);
  curl_easy_cleanup (c);
  return 0;
}
