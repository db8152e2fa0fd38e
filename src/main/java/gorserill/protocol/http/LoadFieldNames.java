package gorserill.protocol.http;

/** What load reports call free slots and free memory; null where they do not tell. */
public record LoadFieldNames(String freeSlots, String freeMemory) {}
