/**
 * What the parts of a control process share.
 */
package io.lentilstream.control;
