/**
 * View of the peers and propagation of settings.
 */
package io.lentilstream.membership;
