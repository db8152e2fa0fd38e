package gorserill.cluster.consensus;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import gorserill.cluster.MalformedMessageException;
import io.microraft.MembershipChangeMode;
import io.microraft.RaftEndpoint;
import io.microraft.model.RaftModelFactory;
import io.microraft.model.groupop.UpdateRaftGroupMembersOp;
import io.microraft.model.impl.DefaultRaftModelFactory;
import io.microraft.model.log.BaseLogEntry;
import io.microraft.model.log.LogEntry;
import io.microraft.model.log.RaftGroupMembersView;
import io.microraft.model.log.SnapshotChunk;
import io.microraft.model.message.AppendEntriesFailureResponse;
import io.microraft.model.message.AppendEntriesRequest;
import io.microraft.model.message.AppendEntriesSuccessResponse;
import io.microraft.model.message.InstallSnapshotRequest;
import io.microraft.model.message.InstallSnapshotResponse;
import io.microraft.model.message.PreVoteRequest;
import io.microraft.model.message.PreVoteResponse;
import io.microraft.model.message.RaftMessage;
import io.microraft.model.message.TriggerLeaderElectionRequest;
import io.microraft.model.message.VoteRequest;
import io.microraft.model.message.VoteResponse;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.List;

/**
 * Encodes Raft messages and log entries as JSON. An operation is a text or a membership change. Received
 * messages are checked field by field, so that no incomplete message reaches the Raft node.
 */
final class RaftCodec {
    private static final JsonNodeFactory JSON = JsonNodeFactory.instance;

    private final String group;
    private final RaftModelFactory models = new DefaultRaftModelFactory();

    RaftCodec(String group) {
        this.group = group;
    }

    RaftModelFactory models() {
        return models;
    }

    // ---- messages ----

    ObjectNode write(RaftMessage message) {
        ObjectNode to = JSON.objectNode().put("from", name(message.getSender())).put("term", message.getTerm());
        if (message instanceof AppendEntriesRequest m) {
            to.put("is", "append")
                    .put("previous_term", m.getPreviousLogTerm())
                    .put("previous_index", m.getPreviousLogIndex())
                    .put("commit", m.getCommitIndex())
                    .put("query", m.getQuerySequenceNumber())
                    .put("flow", m.getFlowControlSequenceNumber());
            ArrayNode entries = to.putArray("entries");
            m.getLogEntries().forEach(entry -> entries.add(entry(entry)));
        } else if (message instanceof AppendEntriesSuccessResponse m) {
            to.put("is", "appended")
                    .put("last_index", m.getLastLogIndex())
                    .put("query", m.getQuerySequenceNumber())
                    .put("flow", m.getFlowControlSequenceNumber());
        } else if (message instanceof AppendEntriesFailureResponse m) {
            to.put("is", "not_appended")
                    .put("next_index", m.getExpectedNextIndex())
                    .put("query", m.getQuerySequenceNumber())
                    .put("flow", m.getFlowControlSequenceNumber());
        } else if (message instanceof InstallSnapshotRequest m) {
            to.put("is", "snapshot")
                    .put("from_leader", m.isSenderLeader())
                    .put("last_term", m.getSnapshotTerm())
                    .put("last_index", m.getSnapshotIndex())
                    .put("chunks", m.getTotalSnapshotChunkCount())
                    .put("query", m.getQuerySequenceNumber())
                    .put("flow", m.getFlowControlSequenceNumber());
            to.set("chunk", m.getSnapshotChunk() == null ? JSON.nullNode() : chunk(m.getSnapshotChunk()));
            to.set("holders", names(m.getSnapshottedMembers()));
            to.set("members", m.getGroupMembersView() == null ? JSON.nullNode() : view(m.getGroupMembersView()));
        } else if (message instanceof InstallSnapshotResponse m) {
            to.put("is", "snapshot_wanted")
                    .put("last_index", m.getSnapshotIndex())
                    .put("chunk", m.getRequestedSnapshotChunkIndex())
                    .put("query", m.getQuerySequenceNumber())
                    .put("flow", m.getFlowControlSequenceNumber());
        } else if (message instanceof PreVoteRequest m) {
            to.put("is", "pre_vote").put("last_term", m.getLastLogTerm()).put("last_index", m.getLastLogIndex());
        } else if (message instanceof PreVoteResponse m) {
            to.put("is", "pre_voted").put("granted", m.isGranted());
        } else if (message instanceof VoteRequest m) {
            to.put("is", "vote")
                    .put("last_term", m.getLastLogTerm())
                    .put("last_index", m.getLastLogIndex())
                    .put("sticky", m.isSticky());
        } else if (message instanceof VoteResponse m) {
            to.put("is", "voted").put("granted", m.isGranted());
        } else if (message instanceof TriggerLeaderElectionRequest m) {
            to.put("is", "lead").put("last_term", m.getLastLogTerm()).put("last_index", m.getLastLogIndex());
        } else {
            throw new IllegalArgumentException("no message of this build: " + message.getClass());
        }
        return to;
    }

    RaftMessage read(JsonNode from) throws MalformedMessageException {
        VoterEndpoint sender = new VoterEndpoint(text(from, "from"));
        int term = (int) number(from, "term");
        String is = text(from, "is");
        return switch (is) {
            case "append" ->
                models.createAppendEntriesRequestBuilder()
                        .setGroupId(group)
                        .setSender(sender)
                        .setTerm(term)
                        .setPreviousLogTerm((int) number(from, "previous_term"))
                        .setPreviousLogIndex(number(from, "previous_index"))
                        .setCommitIndex(number(from, "commit"))
                        .setLogEntries(entries(from.path("entries")))
                        .setQuerySequenceNumber(number(from, "query"))
                        .setFlowControlSequenceNumber(number(from, "flow"))
                        .build();
            case "appended" ->
                models.createAppendEntriesSuccessResponseBuilder()
                        .setGroupId(group)
                        .setSender(sender)
                        .setTerm(term)
                        .setLastLogIndex(number(from, "last_index"))
                        .setQuerySequenceNumber(number(from, "query"))
                        .setFlowControlSequenceNumber(number(from, "flow"))
                        .build();
            case "not_appended" ->
                models.createAppendEntriesFailureResponseBuilder()
                        .setGroupId(group)
                        .setSender(sender)
                        .setTerm(term)
                        .setExpectedNextIndex(number(from, "next_index"))
                        .setQuerySequenceNumber(number(from, "query"))
                        .setFlowControlSequenceNumber(number(from, "flow"))
                        .build();
            case "snapshot" ->
                models.createInstallSnapshotRequestBuilder()
                        .setGroupId(group)
                        .setSender(sender)
                        .setTerm(term)
                        .setSenderLeader(from.path("from_leader").asBoolean())
                        .setSnapshotTerm((int) number(from, "last_term"))
                        .setSnapshotIndex(number(from, "last_index"))
                        .setTotalSnapshotChunkCount((int) number(from, "chunks"))
                        .setSnapshotChunk(from.path("chunk").isObject() ? chunk(from.path("chunk")) : null)
                        .setSnapshottedMembers(endpoints(from.path("holders")))
                        .setGroupMembersView(from.path("members").isObject() ? view(from.path("members")) : null)
                        .setQuerySequenceNumber(number(from, "query"))
                        .setFlowControlSequenceNumber(number(from, "flow"))
                        .build();
            case "snapshot_wanted" ->
                models.createInstallSnapshotResponseBuilder()
                        .setGroupId(group)
                        .setSender(sender)
                        .setTerm(term)
                        .setSnapshotIndex(number(from, "last_index"))
                        .setRequestedSnapshotChunkIndex((int) number(from, "chunk"))
                        .setQuerySequenceNumber(number(from, "query"))
                        .setFlowControlSequenceNumber(number(from, "flow"))
                        .build();
            case "pre_vote" ->
                models.createPreVoteRequestBuilder()
                        .setGroupId(group)
                        .setSender(sender)
                        .setTerm(term)
                        .setLastLogTerm((int) number(from, "last_term"))
                        .setLastLogIndex(number(from, "last_index"))
                        .build();
            case "pre_voted" ->
                models.createPreVoteResponseBuilder()
                        .setGroupId(group)
                        .setSender(sender)
                        .setTerm(term)
                        .setGranted(flag(from, "granted"))
                        .build();
            case "vote" ->
                models.createVoteRequestBuilder()
                        .setGroupId(group)
                        .setSender(sender)
                        .setTerm(term)
                        .setLastLogTerm((int) number(from, "last_term"))
                        .setLastLogIndex(number(from, "last_index"))
                        .setSticky(flag(from, "sticky"))
                        .build();
            case "voted" ->
                models.createVoteResponseBuilder()
                        .setGroupId(group)
                        .setSender(sender)
                        .setTerm(term)
                        .setGranted(flag(from, "granted"))
                        .build();
            case "lead" ->
                models.createTriggerLeaderElectionRequestBuilder()
                        .setGroupId(group)
                        .setSender(sender)
                        .setTerm(term)
                        .setLastLogTerm((int) number(from, "last_term"))
                        .setLastLogIndex(number(from, "last_index"))
                        .build();
            default -> throw new MalformedMessageException("is: '" + is + "' is no message of this build");
        };
    }

    // ---- log entries and snapshots ----

    ObjectNode entry(BaseLogEntry entry) {
        ObjectNode to = JSON.objectNode().put("index", entry.getIndex()).put("term", entry.getTerm());
        if (entry.getOperation() instanceof UpdateRaftGroupMembersOp op) {
            ObjectNode change = to.putObject("change");
            change.set("members", names(op.getMembers()));
            change.set("voting", names(op.getVotingMembers()));
            change.put("who", name(op.getEndpoint())).put("how", op.getMode().name());
        } else {
            to.put("op", (String) entry.getOperation());
        }
        return to;
    }

    LogEntry entry(JsonNode from) throws MalformedMessageException {
        return models.createLogEntryBuilder()
                .setIndex(number(from, "index"))
                .setTerm((int) number(from, "term"))
                .setOperation(operation(from))
                .build();
    }

    private Object operation(JsonNode from) throws MalformedMessageException {
        JsonNode change = from.path("change");
        if (!change.isObject()) {
            return from.path("op").isTextual() ? from.path("op").textValue() : null;
        }
        try {
            return models.createUpdateRaftGroupMembersOpBuilder()
                    .setMembers(endpoints(change.path("members")))
                    .setVotingMembers(endpoints(change.path("voting")))
                    .setEndpoint(new VoterEndpoint(text(change, "who")))
                    .setMode(MembershipChangeMode.valueOf(text(change, "how")))
                    .build();
        } catch (IllegalArgumentException e) {
            throw new MalformedMessageException("how: " + e.getMessage());
        }
    }

    private List<LogEntry> entries(JsonNode from) throws MalformedMessageException {
        List<LogEntry> entries = new ArrayList<>();
        for (JsonNode entry : from) {
            entries.add(entry(entry));
        }
        return entries;
    }

    ObjectNode chunk(SnapshotChunk chunk) {
        ObjectNode to =
                entry(chunk).put("chunk", chunk.getSnapshotChunkIndex()).put("chunks", chunk.getSnapshotChunkCount());
        to.set("members", view(chunk.getGroupMembersView()));
        return to;
    }

    SnapshotChunk chunk(JsonNode from) throws MalformedMessageException {
        return models.createSnapshotChunkBuilder()
                .setIndex(number(from, "index"))
                .setTerm((int) number(from, "term"))
                .setOperation(operation(from))
                .setSnapshotChunkIndex((int) number(from, "chunk"))
                .setSnapshotChunkCount((int) number(from, "chunks"))
                .setGroupMembersView(view(from.path("members")))
                .build();
    }

    ObjectNode view(RaftGroupMembersView view) {
        ObjectNode to = JSON.objectNode().put("index", view.getLogIndex());
        to.set("members", names(view.getMembers()));
        to.set("voting", names(view.getVotingMembers()));
        return to;
    }

    RaftGroupMembersView view(JsonNode from) throws MalformedMessageException {
        return models.createRaftGroupMembersViewBuilder()
                .setLogIndex(number(from, "index"))
                .setMembers(endpoints(from.path("members")))
                .setVotingMembers(endpoints(from.path("voting")))
                .build();
    }

    static String name(RaftEndpoint endpoint) {
        return endpoint == null ? null : (String) endpoint.getId();
    }

    private static ArrayNode names(Collection<RaftEndpoint> endpoints) {
        ArrayNode names = JSON.arrayNode();
        endpoints.forEach(endpoint -> names.add(name(endpoint)));
        return names;
    }

    private static Collection<RaftEndpoint> endpoints(JsonNode from) throws MalformedMessageException {
        Collection<RaftEndpoint> endpoints = new LinkedHashSet<>();
        for (JsonNode name : from) {
            if (!name.isTextual()) {
                throw new MalformedMessageException("a member's name is no text");
            }
            endpoints.add(new VoterEndpoint(name.textValue()));
        }
        return endpoints;
    }

    private static String text(JsonNode from, String key) throws MalformedMessageException {
        JsonNode value = from.path(key);
        if (!value.isTextual()) {
            throw new MalformedMessageException(key + ": is missing or no text");
        }
        return value.textValue();
    }

    private static long number(JsonNode from, String key) throws MalformedMessageException {
        JsonNode value = from.path(key);
        if (!value.canConvertToLong()) {
            throw new MalformedMessageException(key + ": is missing or no whole number");
        }
        return value.longValue();
    }

    private static boolean flag(JsonNode from, String key) throws MalformedMessageException {
        if (!from.path(key).isBoolean()) {
            throw new MalformedMessageException(key + ": is missing or neither true nor false");
        }
        return from.path(key).booleanValue();
    }
}
