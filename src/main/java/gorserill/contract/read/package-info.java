/**
 * Descriptions as text: files, JSON and YAML, references between them, and faults told by their place. All
 * that the contracts' package does with files is done here.
 */
package gorserill.contract.read;
