/**
 * A stand-in platform on loopback.
 */
package io.lentilstream.standin;
