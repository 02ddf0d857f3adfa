/* promise_script.h -- tests that play scripts of the model of the platform.

   NAME.script has lines with options of the model (model.h); each is played
   with its seeds.  NAME.expected has the same lines with the number of broken
   rules.  FTK_PROMISES names another script, whose output is printed; with
   FTK_PROMISES_LOG set, with the entries' logs.  */

#ifndef FTK_TESTS_PROMISE_SCRIPT_H
#define FTK_TESTS_PROMISE_SCRIPT_H

/** Runs the test PATH/NAME.script of each script in DIRECTORY.  Returns the
    exit status of the program.  */
int promise_script_main (int argc, char **argv, const char *path,
                         const char *directory);

#endif
