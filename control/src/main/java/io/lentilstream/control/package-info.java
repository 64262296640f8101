/**
 * Assembles a control process and holds what its parts share: the event loop and the
 * handling of fatal errors.
 */
package io.lentilstream.control;
