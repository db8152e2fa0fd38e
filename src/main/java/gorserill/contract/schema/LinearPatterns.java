package gorserill.contract.schema;

import com.google.re2j.Pattern;
import com.google.re2j.PatternSyntaxException;
import com.networknt.schema.regex.RegularExpression;
import com.networknt.schema.regex.RegularExpressionFactory;

/**
 * The patterns of descriptions, run in time linear in the text. Danger: with backtracking, a description's
 * {@code (a+)+$} and a client's text hang the one thread that serves everybody.
 */
final class LinearPatterns implements RegularExpressionFactory {
    /** A longer one is no pattern that a person wrote, and its program takes memory by the size. */
    static final int MAX_LENGTH = 1_000;

    @Override
    public RegularExpression getRegularExpression(String regex) {
        Pattern pattern = compile(regex);
        // JSON Schema's patterns are not anchored (draft 2020-12, Core, 6.4).
        return text -> pattern.matcher(text).find();
    }

    /** @throws PatternSyntaxException where it can't be run in linear time, or is none */
    static Pattern compile(String regex) {
        if (regex.length() > MAX_LENGTH) {
            throw new PatternSyntaxException("longer than " + MAX_LENGTH + " characters", "");
        }
        return Pattern.compile(fromEcma(regex));
    }

    /** ECMA-262 writes a character as four hexadecimal digits after \\u, which RE2 does not know. */
    private static String fromEcma(String regex) {
        StringBuilder out = new StringBuilder(regex.length());
        int i = 0;
        while (i < regex.length()) {
            char c = regex.charAt(i++);
            if (c == '\\' && i < regex.length()) {
                char next = regex.charAt(i++);
                if (next == 'u'
                        && i + 4 <= regex.length()
                        && regex.substring(i, i + 4).matches("[0-9A-Fa-f]{4}")) {
                    out.append("\\x{").append(regex, i, i + 4).append('}');
                    i += 4;
                } else {
                    out.append(c).append(next);
                }
            } else {
                out.append(c);
            }
        }
        return out.toString();
    }
}
