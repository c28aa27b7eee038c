/* State charts: transition tables of state machines, loaded from files and checked. */
#pragma once

#include "err.h"

#include <stdint.h>

#define CHART_STATES_MAX 16
#define CHART_EVENTS_MAX 24
#define CHART_NONE (-1)

/**
 * struct Chart - a checked state chart
 * @name: file name, for error texts
 * @states: NULL-terminated state names, in the order of the enumeration in the code
 * @events: NULL-terminated event names, in the order of the enumeration in the code
 * @next: next state for each state and event, CHART_NONE when the event is impossible in that state
 * @impossible_events: number of events that chart_step() rejected
 */
typedef struct
{
  char name[32];
  const char *const *states;
  const char *const *events;
  uint32_t state_count;
  uint32_t event_count;
  int8_t initial;
  int8_t next[CHART_STATES_MAX][CHART_EVENTS_MAX];
  uint64_t impossible_events;
} Chart;

/**
 * chart_load() - reads and checks a chart
 * @path: file with one "initial STATE", "on STATE EVENT -> STATE" or # comment per line
 * @states: NULL-terminated state names; the chart keeps the pointer
 * @events: NULL-terminated event names; the chart keeps the pointer
 *
 * Unknown states or events, duplicate transitions, a missing initial state, unreachable states and
 * events without a transition are errors.
 *
 * Return: true on success; false with @err set.
 */
bool chart_load (Chart *chart, const char *path, const char *const *states,
                 const char *const *events, Err *err);

/** chart_load_named() - chart_load() of "<dir>/<name>.chart". */
bool chart_load_named (Chart *chart, const char *dir, const char *name, const char *const *states,
                       const char *const *events, Err *err);

/**
 * chart_step() - applies an event to a state machine
 * @state: current state, an index of the chart's states
 * @event: an index of the chart's events
 *
 * Return: true when the event is possible; @state is then the next state. An impossible event is
 * counted and leaves @state unchanged.
 */
bool chart_step (Chart *chart, int32_t *state, int32_t event);
