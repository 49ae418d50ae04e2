/**
 * @file
 * C linkage for declarations in headers that C++ code includes.
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
