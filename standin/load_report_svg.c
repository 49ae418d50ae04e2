#include "standin/load_report.h"

#include <math.h>

#include "base/clock.h"

/* Layout, in pixels. */
#define WIDTH 1000
#define LEFT 70
#define RIGHT 980
#define TITLE_Y 30
#define FIRST_PANEL_TOP 112
#define PANEL_HEIGHT 150
#define PANEL_STEP 208
#define N_PANELS 3
#define BOTTOM (FIRST_PANEL_TOP + (N_PANELS - 1) * PANEL_STEP + PANEL_HEIGHT)
#define HEIGHT (BOTTOM + 48)
#define LABEL_TOP 62
#define LABEL_ROW 12
#define LABEL_ROWS 3

#define MAX_POINTS 200
#define MIN_BUCKETS_PER_POINT 2
#define MAX_X_TICKS 12
#define Y_TICKS 4

#define COLOUR_TOKENS "#2563eb"
#define COLOUR_BOUND "#6b7280"
#define COLOUR_SUCCESS "#059669"
#define COLOUR_P50 "#a78bfa"
#define COLOUR_P95 "#7c3aed"
#define COLOUR_P99 "#4c1d95"
#define COLOUR_FAULT "#dc2626"

/** Buckets merged into one point of a curve. */
struct point
{
  struct eg_load_bucket counts;
  struct eg_histogram first_token_us;
};

/** Position of a panel and range of its vertical axis. */
struct panel
{
  double top;
  double min;
  double max;
  bool logarithmic;
};

struct plot
{
  const struct eg_load_results *results;
  struct eg_buffer *svg;
  double end_s;
  size_t buckets_per_point;
  size_t n_points;
};

static double
seconds (int64_t time_us)
{
  return (double) time_us / (double) EG_US_PER_S;
}

static double
x_at (const struct plot *plot, double time_s)
{
  return LEFT + (RIGHT - LEFT) * time_s / plot->end_s;
}

static double
y_at (const struct panel *panel, double value)
{
  double share = (value - panel->min) / (panel->max - panel->min);

  if (panel->logarithmic)
    share = log (fmax (value, panel->min) / panel->min)
            / log (panel->max / panel->min);
  return panel->top + PANEL_HEIGHT * (1 - fmin (fmax (share, 0), 1));
}

static void
append_escaped (struct eg_buffer *svg, const char *text)
{
  for (; *text; text++)
    switch (*text)
      {
      case '<':
        eg_buffer_append (svg, EG_STR ("&lt;"));
        break;
      case '>':
        eg_buffer_append (svg, EG_STR ("&gt;"));
        break;
      case '&':
        eg_buffer_append (svg, EG_STR ("&amp;"));
        break;
      default:
        eg_buffer_append (svg, (struct eg_str){text, 1});
      }
}

static void
draw_text (struct eg_buffer *svg,
           double x,
           double y,
           const char *attributes,
           const char *text)
{
  eg_buffer_printf (svg, "<text x=\"%.1f\" y=\"%.1f\" %s>", x, y, attributes);
  append_escaped (svg, text);
  eg_buffer_append (svg, EG_STR ("</text>\n"));
}

/* Upper ends of an axis, relative to a power of ten. They are chosen so that
   the labels, at quarters of the axis, have few digits. */
static const double value_steps[] = {1, 1.2, 1.6, 2, 2.4, 3.2, 4, 6, 8, 10};
static const double time_steps[] = {1, 2, 5, 10};

/* Returns the smallest step times a power of ten that is at least value. */
static double
round_up (double value, const double *steps)
{
  double power = pow (10, floor (log10 (value)));

  while (*steps * power < value && *steps < 10)
    steps++;
  return *steps * power;
}

static void
merge_buckets (const struct plot *plot, size_t index, struct point *point)
{
  const struct eg_load_results *results = plot->results;
  size_t from = index * plot->buckets_per_point;

  *point = (struct point){0};
  for (size_t i = from;
       i < from + plot->buckets_per_point && i < results->n_buckets; i++)
    {
      point->counts.arrivals += results->buckets[i].arrivals;
      point->counts.arrived_complete += results->buckets[i].arrived_complete;
      point->counts.tokens += results->buckets[i].tokens;
      eg_histogram_merge (&point->first_token_us, &results->first_token_us[i]);
    }
}

static double
point_s (const struct plot *plot)
{
  return seconds ((int64_t) plot->buckets_per_point * EG_LOAD_BUCKET_US);
}

/** Returns the value of a point, or a negative number if it has none. */
typedef double (*point_value) (const struct plot *plot,
                               const struct point *point);

static double
tokens_per_s (const struct plot *plot, const struct point *point)
{
  return point->counts.tokens / point_s (plot);
}

static double
success_percent (const struct plot *plot, const struct point *point)
{
  (void) plot;
  if (point->counts.arrivals == 0)
    return -1;
  return 100.0 * point->counts.arrived_complete / point->counts.arrivals;
}

static double
first_token_ms (const struct point *point, double share)
{
  if (point->first_token_us.count == 0)
    return -1;
  return (double) eg_histogram_quantile (&point->first_token_us, share)
         / (double) EG_US_PER_MS;
}

static double
first_token_p50 (const struct plot *plot, const struct point *point)
{
  (void) plot;
  return first_token_ms (point, 0.5);
}

static double
first_token_p95 (const struct plot *plot, const struct point *point)
{
  (void) plot;
  return first_token_ms (point, 0.95);
}

static double
first_token_p99 (const struct plot *plot, const struct point *point)
{
  (void) plot;
  return first_token_ms (point, 0.99);
}

static void
draw_series (const struct plot *plot,
             const struct panel *panel,
             point_value value_of,
             const char *colour)
{
  bool in_line = false;

  eg_buffer_printf (plot->svg,
                    "<path fill=\"none\" stroke=\"%s\" stroke-width=\"1.6\" "
                    "stroke-linejoin=\"round\" d=\"",
                    colour);
  for (size_t i = 0; i < plot->n_points; i++)
    {
      struct point point;
      double value;

      merge_buckets (plot, i, &point);
      value = value_of (plot, &point);
      if (value >= 0)
        eg_buffer_printf (plot->svg, "%s%.1f %.1f ", in_line ? "L" : "M",
                          x_at (plot, ((double) i + 0.5) * point_s (plot)),
                          y_at (panel, value));
      in_line = value >= 0;
    }
  eg_buffer_append (plot->svg, EG_STR ("\"/>\n"));
}

static double
max_value (const struct plot *plot, point_value value_of)
{
  double max = 0;

  for (size_t i = 0; i < plot->n_points; i++)
    {
      struct point point;

      merge_buckets (plot, i, &point);
      max = fmax (max, value_of (plot, &point));
    }
  return max;
}

static void
draw_gridline (const struct plot *plot,
               const struct panel *panel,
               double value,
               const char *unit)
{
  char label[32];
  double y = y_at (panel, value);

  eg_buffer_printf (plot->svg,
                    "<line x1=\"%d\" y1=\"%.1f\" x2=\"%d\" y2=\"%.1f\" "
                    "stroke=\"#e5e7eb\"/>\n",
                    LEFT, y, RIGHT, y);
  snprintf (label, sizeof label, "%g%s", value, unit);
  draw_text (plot->svg, LEFT - 8, y + 4, "class=\"tick\" text-anchor=\"end\"",
             label);
}

static int
decades (const struct panel *panel)
{
  return (int) lround (log10 (panel->max / panel->min));
}

static void
draw_panel (const struct plot *plot,
            const struct panel *panel,
            const char *title,
            const char *unit)
{
  draw_text (plot->svg, LEFT, panel->top - 10, "class=\"panel\"", title);
  if (panel->logarithmic)
    for (int i = 0; i <= decades (panel); i++)
      draw_gridline (plot, panel, panel->min * pow (10, i), unit);
  else
    for (int i = 0; i <= Y_TICKS; i++)
      draw_gridline (plot, panel,
                     panel->min + (panel->max - panel->min) * i / Y_TICKS,
                     unit);
}

static void
draw_legend_entry (const struct plot *plot,
                   const struct panel *panel,
                   int slot_from_right,
                   const char *colour,
                   const char *text)
{
  double x = RIGHT - 90.0 * slot_from_right;
  double y = panel->top - 14;

  eg_buffer_printf (plot->svg,
                    "<line x1=\"%.1f\" y1=\"%.1f\" x2=\"%.1f\" y2=\"%.1f\" "
                    "stroke=\"%s\" stroke-width=\"3\"/>\n",
                    x, y, x + 16, y, colour);
  draw_text (plot->svg, x + 22, y + 4, "class=\"tick\"", text);
}

static void
draw_tokens (const struct plot *plot)
{
  double bound = plot->results->scenario->bound_tokens_per_s;
  struct panel panel = {.top = FIRST_PANEL_TOP};

  panel.max = fmax (fmax (max_value (plot, tokens_per_s), bound * 1.02), 1);
  panel.max = round_up (panel.max, value_steps);
  draw_panel (plot, &panel, "tokens received each second", "");
  if (bound > 0)
    {
      double y = y_at (&panel, bound);

      eg_buffer_printf (plot->svg,
                        "<line x1=\"%d\" y1=\"%.1f\" x2=\"%d\" y2=\"%.1f\" "
                        "stroke=\"" COLOUR_BOUND
                        "\" stroke-dasharray=\"7 4\"/>\n",
                        LEFT, y, RIGHT, y);
      draw_legend_entry (plot, &panel, 1, COLOUR_BOUND, "bound");
    }
  draw_series (plot, &panel, tokens_per_s, COLOUR_TOKENS);
}

static void
draw_success (const struct plot *plot)
{
  struct panel panel = {FIRST_PANEL_TOP + PANEL_STEP, 0, 100, false};

  draw_panel (plot, &panel, "whole answers, by time of arrival", " %");
  draw_series (plot, &panel, success_percent, COLOUR_SUCCESS);
}

static void
draw_first_tokens (const struct plot *plot)
{
  double max_ms = fmax (max_value (plot, first_token_p99), 1);
  struct panel panel = {
      .top = FIRST_PANEL_TOP + 2 * PANEL_STEP, .min = 0.1, .logarithmic = true};

  panel.max = pow (10, ceil (log10 (max_ms)));
  draw_panel (plot, &panel, "time to the first token, by time of arrival",
              " ms");
  draw_legend_entry (plot, &panel, 3, COLOUR_P50, "p50");
  draw_legend_entry (plot, &panel, 2, COLOUR_P95, "p95");
  draw_legend_entry (plot, &panel, 1, COLOUR_P99, "p99");
  draw_series (plot, &panel, first_token_p99, COLOUR_P99);
  draw_series (plot, &panel, first_token_p95, COLOUR_P95);
  draw_series (plot, &panel, first_token_p50, COLOUR_P50);
}

static void
draw_time_axis (const struct plot *plot)
{
  double step_s = round_up (plot->end_s / MAX_X_TICKS, time_steps);
  char label[32];

  for (int i = 0; i * step_s <= plot->end_s; i++)
    {
      double x = x_at (plot, i * step_s);

      eg_buffer_printf (plot->svg,
                        "<line x1=\"%.1f\" y1=\"%d\" x2=\"%.1f\" y2=\"%d\" "
                        "stroke=\"#9ca3af\"/>\n",
                        x, BOTTOM, x, BOTTOM + 5);
      snprintf (label, sizeof label, "%g s", i * step_s);
      draw_text (plot->svg, x, BOTTOM + 20,
                 "class=\"tick\" text-anchor=\"middle\"", label);
    }
}

static void
draw_time_span (const struct plot *plot,
                double from_s,
                double to_s,
                const char *colour,
                double opacity)
{
  for (int i = 0; i < N_PANELS; i++)
    eg_buffer_printf (plot->svg,
                      "<rect x=\"%.1f\" y=\"%d\" width=\"%.1f\" height=\"%d\" "
                      "fill=\"%s\" fill-opacity=\"%.2f\"/>\n",
                      x_at (plot, from_s), FIRST_PANEL_TOP + i * PANEL_STEP,
                      fmax (x_at (plot, to_s) - x_at (plot, from_s), 0),
                      PANEL_HEIGHT, colour, opacity);
}

static void
draw_fault (const struct plot *plot, size_t index)
{
  const struct eg_load_fault *fault = &plot->results->scenario->faults[index];
  const struct eg_load_fault_result *result = &plot->results->faults[index];
  double at_s = seconds (fault->at_us);
  double x = x_at (plot, at_s);
  double y = LABEL_TOP + LABEL_ROW * (double) (index % LABEL_ROWS);
  char label[EG_LOAD_NAME_BYTES + 32];

  if (result->recovery.recovered)
    {
      draw_time_span (plot, at_s, at_s + seconds (result->recovery.time_us),
                      COLOUR_FAULT, 0.10);
      snprintf (label, sizeof label, "%s (%.1f s)", fault->label,
                seconds (result->recovery.time_us));
    }
  else
    snprintf (label, sizeof label, "%s", fault->label);
  eg_buffer_printf (plot->svg,
                    "<line x1=\"%.1f\" y1=\"%.1f\" x2=\"%.1f\" y2=\"%d\" "
                    "stroke=\"" COLOUR_FAULT
                    "\" stroke-dasharray=\"3 3\" stroke-opacity=\"0.7\"/>\n",
                    x, y - 8, x, BOTTOM);
  if (x > LEFT + (RIGHT - LEFT) * 0.8)
    draw_text (plot->svg, x - 4, y, "class=\"fault\" text-anchor=\"end\"",
               label);
  else
    draw_text (plot->svg, x + 4, y, "class=\"fault\"", label);
}

static void
draw_heading (const struct plot *plot)
{
  const struct eg_load_results *results = plot->results;
  double bound = results->scenario->bound_tokens_per_s;
  double tokens = eg_load_report_tokens_per_s (results);
  struct eg_load_group total;
  char text[256];
  int len;

  eg_load_results_total (results, &total);
  draw_text (plot->svg, LEFT, TITLE_Y, "class=\"title\"",
             results->scenario->name);
  len = snprintf (text, sizeof text,
                  "%.0f tokens/s; %llu of %llu requests whole, %llu wrong",
                  tokens, (unsigned long long) total.outcomes[EG_LOAD_COMPLETE],
                  (unsigned long long) total.arrivals,
                  (unsigned long long) results->wrong);
  if (bound > 0)
    snprintf (text + len, sizeof text - (size_t) len, "; %.1f %% of the bound",
              100 * tokens / bound);
  draw_text (plot->svg, RIGHT, TITLE_Y, "class=\"tick\" text-anchor=\"end\"",
             text);
}

static void
plot_init (struct plot *plot,
           const struct eg_load_results *results,
           struct eg_buffer *svg)
{
  int64_t last_us = eg_load_scenario_end_us (results->scenario);
  size_t shown = 0;

  *plot = (struct plot){.results = results, .svg = svg};
  for (size_t i = 0; i < results->n_buckets; i++)
    if (results->buckets[i].ended + results->buckets[i].tokens > 0)
      shown = i + 1;
  if ((int64_t) shown * EG_LOAD_BUCKET_US < last_us)
    shown = (size_t) (last_us / EG_LOAD_BUCKET_US) + 1;
  plot->buckets_per_point = (shown + MAX_POINTS - 1) / MAX_POINTS;
  if (plot->buckets_per_point < MIN_BUCKETS_PER_POINT)
    plot->buckets_per_point = MIN_BUCKETS_PER_POINT;
  plot->n_points =
      (shown + plot->buckets_per_point - 1) / plot->buckets_per_point;
  plot->end_s = (double) plot->n_points * point_s (plot);
}

void
eg_load_report_svg (const struct eg_load_results *results,
                    struct eg_buffer *svg)
{
  struct plot plot;

  plot_init (&plot, results, svg);
  eg_buffer_printf (
      svg,
      "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"%d\" height=\"%d\" "
      "viewBox=\"0 0 %d %d\" font-family=\"Helvetica, Arial, sans-serif\">\n"
      "<style>.title{font-size:18px;font-weight:bold;fill:#111827}"
      ".panel{font-size:13px;font-weight:bold;fill:#374151}"
      ".tick{font-size:11px;fill:#6b7280}"
      ".fault{font-size:10px;fill:" COLOUR_FAULT "}</style>\n"
      "<rect width=\"%d\" height=\"%d\" fill=\"#ffffff\"/>\n",
      WIDTH, HEIGHT, WIDTH, HEIGHT, WIDTH, HEIGHT);
  draw_heading (&plot);
  draw_time_span (&plot, 0, seconds (results->scenario->warm_up_us), "#9ca3af",
                  0.15);
  draw_tokens (&plot);
  draw_success (&plot);
  draw_first_tokens (&plot);
  draw_time_axis (&plot);
  for (size_t i = 0; i < results->scenario->n_faults; i++)
    draw_fault (&plot, i);
  eg_buffer_append (svg, EG_STR ("</svg>\n"));
}
