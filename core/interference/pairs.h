/* pairs.h -- which images slow each other down on one VM.  */

#ifndef FTK_CORE_INTERFERENCE_PAIRS_H
#define FTK_CORE_INTERFERENCE_PAIRS_H

#include <stdbool.h>
#include <stdint.h>

/** Most ordered pairs of images that are kept, with one for each image that
    has all of its samples.  */
#define INTERFERENCE_PAIR_LIMIT 256
/** Most other images that a sample names.  */
#define INTERFERENCE_NEIGHBOR_LIMIT 16
/** Runners that a pair distinguishes.  */
#define INTERFERENCE_RUNNER_COUNT 4
/** Most partners of an image that its placement avoids.  */
#define INTERFERENCE_PARTNER_LIMIT 16

/** Another image on the runner of a task.  */
struct interference_neighbor
{
  uint32_t image;
  uint32_t part_milli; /**< Part of the sample's time for which it was there,
                          in thousandths.  */
};

/** One sample of how slowly a task of an image runs.  */
struct interference_sample
{
  uint32_t image;       /**< Number of the image; not 0.  */
  uint32_t runner;      /**< Number of the runner.  */
  uint32_t ratio_milli; /**< Run time or tail latency in proportion to what is
                           expected, in thousandths.  */
  uint32_t neighbor_count; /**< Entries of neighbors.  */
  struct interference_neighbor neighbors[INTERFERENCE_NEIGHBOR_LIMIT];
};

/** Sums of samples, which decay.  */
struct interference_side
{
  double weight;        /**< Sum of the weights.  */
  double weight_square; /**< Sum of their squares.  */
  double sum;           /**< Weighted sum of the ratios, 1 is as expected.  */
  double square_sum;    /**< Weighted sum of their squares.  */
};

/** Samples of a pair from one runner.  */
struct interference_runner
{
  uint32_t runner;
  double weight; /**< 0: the entry is free.  */
  double sum;    /**< Weighted sum of the ratios.  */
};

/** What is known of an image beside another one.  */
struct interference_pair
{
  struct interference_side with;    /**< While the other image was there.  */
  struct interference_side without; /**< While it was not.  */
  struct interference_runner runners[INTERFERENCE_RUNNER_COUNT]; /**< Of with.
                                                                  */
  uint64_t decayed_at_us;  /**< When the sums last decayed.  */
  uint64_t seen_at_us;     /**< When the two were last together.  */
  uint32_t slowdown_milli; /**< How much longer the image takes beside the
                              other one, as last announced; 0: not at all.  */
};

/** All pairs.  All zero: none is known.  Pair I is of IMAGES[I] beside
    BESIDE[I].  */
struct interference
{
  uint32_t pair_count;
  uint32_t images[INTERFERENCE_PAIR_LIMIT];
  uint32_t beside[INTERFERENCE_PAIR_LIMIT];
  struct interference_pair pairs[INTERFERENCE_PAIR_LIMIT];
  uint32_t active_count; /**< Pairs that slow each other.  */
};

/** A pair that was found to interfere, or no longer does.  */
struct interference_change
{
  uint32_t image;
  uint32_t beside;
  bool interferes;
  uint32_t slowdown_milli; /**< What is now measured; 0: unknown, or none.  */
  uint32_t sample_count;   /**< Weight of the samples together.  */
};

/** The images whose tasks a task of an image should not join.  */
struct interference_partners
{
  uint32_t count;
  uint32_t images[INTERFERENCE_PARTNER_LIMIT];
  uint32_t slowdown_milli[INTERFERENCE_PARTNER_LIMIT];
};

/** Counts the sample S, taken at NOW_US.  */
void interference_note (struct interference *x, uint64_t now_us,
                        const struct interference_sample *s);

/** Judges all pairs at NOW_US and sets CHANGE to the first whose state has
    changed; returns false if none has.  Call it until it does.  */
bool interference_next_change (struct interference *x, uint64_t now_us,
                               struct interference_change *change);

/** Sets P to the images that slow IMAGE or are slowed by it.  */
void interference_find_partners (const struct interference *x, uint32_t image,
                                 struct interference_partners *p);

/** Returns the slowdown in thousandths that a task whose partners are P should
    avoid by staying away from a task of IMAGE; 0: none.  */
uint32_t interference_penalty (const struct interference_partners *p,
                               uint32_t image);

#endif
