/**
 * JSON Schemas of descriptions: gathered from their files, brought to one dialect (2020-12), checked for what
 * would hang or never end, and put to work on values within bounds.
 */
package gorserill.contract.schema;
