import java.lang.reflect.InvocationTargetException;

/** Starts the program of a case. If it ends with an exception, the case couldn't run. */
final class Case {
    private static final int COULD_NOT_RUN = 2;

    private Case() {}

    public static void main(String[] args) throws Exception {
        try {
            var program = Class.forName(args[0]).getDeclaredMethod("main", String[].class);
            program.setAccessible(true);
            program.invoke(null, (Object) new String[] {args[1]});
        } catch (InvocationTargetException | ClassNotFoundException e) {
            e.printStackTrace();
            System.exit(COULD_NOT_RUN);
        }
    }
}
