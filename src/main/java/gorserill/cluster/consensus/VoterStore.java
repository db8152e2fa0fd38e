package gorserill.cluster.consensus;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import gorserill.cluster.MalformedMessageException;
import io.microraft.model.log.LogEntry;
import io.microraft.model.log.RaftGroupMembersView;
import io.microraft.model.log.SnapshotChunk;
import io.microraft.model.log.SnapshotEntry;
import io.microraft.model.persistence.RaftEndpointPersistentState;
import io.microraft.model.persistence.RaftTermPersistentState;
import io.microraft.persistence.RaftStore;
import io.microraft.persistence.RestoredRaftState;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.function.Consumer;

/**
 * The persistent Raft state of a voter: term and vote, log, and the latest snapshot. After a failed write the
 * state on disk is unknown, so the voter is notified and stops participating instead of answering from
 * incomplete state.
 */
final class VoterStore implements RaftStore {
    private static final String ENDPOINT = "endpoint";
    private static final String MEMBERS = "members";
    private static final String TERM = "term";
    private static final String LOG = "log/";
    private static final String CHUNK = "chunk/";
    private static final ObjectMapper TEXT = new ObjectMapper();

    private final StableStorage storage;
    private final RaftCodec codec;
    private final Consumer<IOException> failed;

    VoterStore(StableStorage storage, RaftCodec codec, Consumer<IOException> failed) {
        this.storage = storage;
        this.codec = codec;
        this.failed = failed;
    }

    /** The stored state; null if there is none, that is, no vote and no entry. */
    RestoredRaftState load() throws MalformedMessageException {
        SortedMap<String, String> all = storage.all();
        if (!all.containsKey(ENDPOINT) || !all.containsKey(MEMBERS)) {
            return null;
        }
        var endpoint = codec.models()
                .createRaftEndpointPersistentStateBuilder()
                .setLocalEndpoint(
                        new VoterEndpoint(read(all, ENDPOINT).path("name").asText()))
                .setVoting(read(all, ENDPOINT).path("voting").asBoolean())
                .build();
        // A voter stopped before its first term has stored none, and the library does not accept null.
        JsonNode kept = all.containsKey(TERM) ? read(all, TERM) : TEXT.createObjectNode();
        RaftTermPersistentState term = codec.models()
                .createRaftTermPersistentStateBuilder()
                .setTerm(kept.path("term").asInt())
                .setVotedFor(
                        kept.path("voted").isTextual()
                                ? new VoterEndpoint(kept.path("voted").asText())
                                : null)
                .build();
        SnapshotEntry snapshot = snapshot(all);
        List<LogEntry> entries = new ArrayList<>();
        for (String key : all.subMap(LOG, LOG + "~").keySet()) {
            LogEntry entry = codec.entry(read(all, key));
            if (snapshot == null || entry.getIndex() > snapshot.getIndex()) {
                entries.add(entry);
            }
        }
        return new RestoredRaftState(endpoint, codec.view(read(all, MEMBERS)), term, snapshot, entries);
    }

    /** The latest snapshot with all its chunks. */
    private SnapshotEntry snapshot(SortedMap<String, String> all) throws MalformedMessageException {
        Map<Long, List<SnapshotChunk>> byIndex = new TreeMap<>();
        for (String key : all.subMap(CHUNK, CHUNK + "~").keySet()) {
            SnapshotChunk chunk = codec.chunk(read(all, key));
            byIndex.computeIfAbsent(chunk.getIndex(), i -> new ArrayList<>()).add(chunk);
        }
        SnapshotEntry last = null;
        for (List<SnapshotChunk> chunks : byIndex.values()) {
            SnapshotChunk first = chunks.get(0);
            if (chunks.size() == first.getSnapshotChunkCount()) {
                last = codec.models()
                        .createSnapshotEntryBuilder()
                        .setIndex(first.getIndex())
                        .setTerm(first.getTerm())
                        .setSnapshotChunks(chunks)
                        .setGroupMembersView(first.getGroupMembersView())
                        .build();
            }
        }
        return last;
    }

    private static JsonNode read(Map<String, String> all, String key) throws MalformedMessageException {
        try {
            return TEXT.readTree(all.get(key));
        } catch (JsonProcessingException e) {
            throw new MalformedMessageException(key + ": is no JSON: " + e.getOriginalMessage());
        }
    }

    private static String logKey(long index) {
        return LOG + "%019d".formatted(index);
    }

    private static String chunkKey(long index, int chunk) {
        return CHUNK + "%019d/%06d".formatted(index, chunk);
    }

    @Override
    public void persistAndFlushLocalEndpoint(RaftEndpointPersistentState state) throws IOException {
        ObjectNode text = TEXT.createObjectNode()
                .put("name", RaftCodec.name(state.getLocalEndpoint()))
                .put("voting", state.isVoting());
        storage.put(ENDPOINT, text.toString());
        flush();
    }

    @Override
    public void persistAndFlushInitialGroupMembers(RaftGroupMembersView members) throws IOException {
        storage.put(MEMBERS, codec.view(members).toString());
        flush();
    }

    @Override
    public void persistAndFlushTerm(RaftTermPersistentState state) throws IOException {
        storage.put(
                TERM,
                TEXT.createObjectNode()
                        .put("term", state.getTerm())
                        .put("voted", RaftCodec.name(state.getVotedFor()))
                        .toString());
        flush();
    }

    @Override
    public void persistLogEntries(List<LogEntry> entries) {
        entries.forEach(entry ->
                storage.put(logKey(entry.getIndex()), codec.entry(entry).toString()));
    }

    @Override
    public void persistSnapshotChunk(SnapshotChunk chunk) {
        storage.put(
                chunkKey(chunk.getIndex(), chunk.getSnapshotChunkIndex()),
                codec.chunk(chunk).toString());
    }

    @Override
    public void truncateLogEntriesFrom(long from) {
        removeAll(logKey(from), LOG + "~");
    }

    @Override
    public void truncateLogEntriesUntil(long until) {
        removeAll(LOG, logKey(until + 1));
    }

    @Override
    public void deleteSnapshotChunks(long index, int count) {
        removeAll(chunkKey(index, 0), chunkKey(index, count));
    }

    private void removeAll(String from, String below) {
        new ArrayList<>(storage.all().subMap(from, below).keySet()).forEach(storage::remove);
    }

    @Override
    public void flush() throws IOException {
        try {
            storage.flush();
        } catch (IOException e) {
            failed.accept(e);
            throw e;
        }
    }
}
