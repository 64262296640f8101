/**
 * What is learned from late reports: real sizes and interference.
 */
package io.lentilstream.tasks.usage;
