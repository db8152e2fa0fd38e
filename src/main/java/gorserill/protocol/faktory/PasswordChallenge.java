package gorserill.protocol.faktory;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/**
 * The password check of the Faktory protocol: HI carries a salt and a number of rounds, HELLO the hash of password and
 * salt after so many rounds of SHA-256.
 *
 * @param salt drawn anew for each connection
 */
record PasswordChallenge(String salt) {
    private static final int ROUNDS = 1_545;

    /** The fields that HI carries for a server with a password, after the version. */
    String fields() {
        return ",\"s\":\"" + salt + "\",\"i\":" + ROUNDS;
    }

    /** @param claimedHash the hash in hexadecimal, as HELLO has it; null if it has none */
    boolean isAnsweredBy(String claimedHash, String password) {
        return claimedHash != null
                && MessageDigest.isEqual(
                        hash(password).getBytes(StandardCharsets.UTF_8), claimedHash.getBytes(StandardCharsets.UTF_8));
    }

    private String hash(String password) {
        try {
            MessageDigest sha = MessageDigest.getInstance("SHA-256");
            byte[] hash = sha.digest((password + salt).getBytes(StandardCharsets.UTF_8));
            for (int round = 1; round < ROUNDS; round++) {
                hash = sha.digest(hash);
            }
            return HexFormat.of().formatHex(hash);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e);
        }
    }
}
