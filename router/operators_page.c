#include "router/operators_page.h"

/* Embeds page.html verbatim. */
__asm__(".section .rodata\n"
        ".global eg_page_begin\n"
        ".global eg_page_end\n"
        "eg_page_begin:\n"
        ".incbin \"" EG_PAGE_PATH "\"\n"
        "eg_page_end:\n"
        ".byte 0\n"
        ".previous\n");

extern const char eg_page_begin[];
extern const char eg_page_end[];

void
eg_operators_get_page (const struct eg_operators_deps *deps,
                       struct eg_str body,
                       struct eg_operators_answer *answer)
{
  const struct eg_str page = {eg_page_begin,
                              (size_t) (eg_page_end - eg_page_begin)};

  (void) deps;
  (void) body;
  answer->content_type = "text/html; charset=utf-8";
  eg_buffer_append (&answer->body, page);
}
