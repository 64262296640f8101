/**
 * Values of jobs: what callers submit, the policy of their queue, and what is reported of
 * their tasks.
 */
package io.lentilstream.jobs;
