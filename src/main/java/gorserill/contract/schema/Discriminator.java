package gorserill.contract.schema;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import gorserill.contract.read.Spot;
import gorserill.contract.read.Value.Kind;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * OpenAPI's discriminator (OpenAPI 3.1.1, 4.8.25) in words of JSON Schema: the property must be there, name
 * one of the alternatives, and the value must fit that one. Which schema a faulty value was meant for is then
 * known, so that its sender is told what is wrong with it and not that it fits none of them.
 */
final class Discriminator {
    private Discriminator() {}

    private static void require(ObjectNode out, String property) {
        ArrayNode required = out.withArrayProperty("required");
        for (int i = 0; i < required.size(); i++) {
            if (required.get(i).asText().equals(property)) {
                return;
            }
        }
        required.add(property);
    }

    /** AsyncAPI's is the property's name alone. */
    static void requireNamed(Spot spot, ObjectNode out) {
        String property = spot.text("discriminator");
        if (property != null) {
            require(out, property);
        }
    }

    /** @param out the schema so far, whose alternatives are references already */
    static void apply(Spot spot, ObjectNode out) {
        Spot discriminator = spot.get("discriminator");
        if (discriminator == null || !discriminator.must(Kind.OBJECT)) {
            return;
        }
        String property = discriminator.needed("propertyName", "name the property that tells the schemas apart");
        if (property == null) {
            return;
        }
        require(out, property);
        String kind = out.has("oneOf") ? "oneOf" : "anyOf";
        if (!out.has(kind)) {
            return;
        }
        // By its pointer each alternative's place in the list, and by its last name the value that means it.
        Map<String, Integer> places = new LinkedHashMap<>();
        Map<String, Integer> byValue = new LinkedHashMap<>();
        List<Spot> alternatives = spot.raw(kind).rawItems();
        for (int i = 0; i < alternatives.size(); i++) {
            Spot target = alternatives.get(i).target();
            if (target == null) {
                alternatives
                        .get(i)
                        .error(
                                "under a discriminator this must be a $ref",
                                "move the schema to components and refer to it");
                return;
            }
            places.put(target.id(), i);
            byValue.put(target.name(), i);
        }
        Spot mapping = discriminator.raw("mapping");
        if (mapping != null && mapping.must(Kind.OBJECT)) {
            for (String value : mapping.value().members().keySet()) {
                Integer place = mapped(mapping, value, byValue);
                if (place != null) {
                    byValue.put(value, place);
                }
            }
        }
        ArrayNode all = out.withArrayProperty("allOf");
        ArrayNode values =
                all.addObject().putObject("properties").putObject(property).putArray("enum");
        byValue.forEach((value, place) -> {
            values.add(value);
            ObjectNode meant = all.addObject();
            meant.putObject("if").putObject("properties").putObject(property).put("const", value);
            meant.set("then", out.get(kind).get(place).deepCopy());
        });
        out.remove(kind);
    }

    private static Integer mapped(Spot mapping, String value, Map<String, Integer> byValue) {
        Spot at = mapping.raw(value);
        if (!at.must(Kind.TEXT)) {
            return null;
        }
        String name = at.value().text();
        Integer place = byValue.get(name);
        if (place == null) {
            place = byValue.get(name.substring(name.lastIndexOf('/') + 1).replaceFirst("\\.(ya?ml|json)$", ""));
        }
        if (place == null) {
            at.error("'" + name + "' is none of the alternatives", "name one that stands beside the discriminator");
        }
        return place;
    }
}
