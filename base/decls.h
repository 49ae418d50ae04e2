/**
 * @file
 * Brackets for declarations that C++ programs may include.
 */
#ifndef EG_BASE_DECLS_H
#define EG_BASE_DECLS_H

#ifdef __cplusplus
#define EG_BEGIN_DECLS                                                         \
  extern "C"                                                                   \
  {
#define EG_END_DECLS }
#else
#define EG_BEGIN_DECLS
#define EG_END_DECLS
#endif

#endif
