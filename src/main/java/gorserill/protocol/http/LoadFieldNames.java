package gorserill.protocol.http;

/** Names of the fields for free slots and free memory in load reports; null for a field that is not reported. */
public record LoadFieldNames(String freeSlots, String freeMemory) {}
