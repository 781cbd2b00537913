import java.nio.file.Path;

/** Plays a case: arguments are its name, the repository and the file of the record. */
public final class Review {

  private Review() {}

  public static void main(String[] arguments) {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    Path repository = Path.of(arguments[1]).toAbsolutePath();
    Path record = Path.of(arguments[2]).toAbsolutePath();
    int result = 2;
    try {
      result =
          switch (arguments[0]) {
            case "many-ends" -> ManyEnds.play(repository, record, trouble);
            case "guarantee" -> Guarantee.play(repository, record, trouble);
            case "large-record" -> LargeRecord.play(repository, record, trouble);
            case "new-address" -> NewAddress.play(repository, record, trouble);
            case "failed-everywhere" -> FailedEverywhere.play(repository, record, trouble);
            case "pending" -> Pending.play(repository, record, trouble);
            default -> 2;
          };
    } catch (Exception e) {
      e.printStackTrace();
    }
    System.out.println(arguments[0] + ": " + (result == 0 ? "held" : result == 1 ? "BROKEN" : "could not run"));
    System.exit(result);
  }
}
