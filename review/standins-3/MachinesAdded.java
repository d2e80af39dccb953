import java.io.IOException;
import java.util.List;

/** A region with 3 of 5 daemons is cut off for 25 s, and 1 s later two machines are added outside. */
final class MachinesAdded {

    private static final long CUT_MILLIS = 25_000;

    private MachinesAdded() {}

    public static void main(String[] arguments) throws IOException {
        List<String> first = List.of(
                "edge-yorkton-kiln-1",
                "edge-yorkton-kiln-2",
                "edge-melville-annex-1",
                "edge-brandon-depot-1",
                "edge-edmonton-wh-1");
        List<String> added = List.of("edge-brandon-depot-2", "edge-edmonton-wh-2");
        new SplitRegion(first, added, List.of(), CUT_MILLIS).run(arguments);
    }
}
