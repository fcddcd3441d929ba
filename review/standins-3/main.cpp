/**
 * Runs one case of this review: standins-3 NUMBER ROOT CASE-FOLDER. The exit code is 1 if the rule was broken, 0 if it held and 2 if the
 * case could not run.
 */
#include "cases.h"

#include <filesystem>

int main(int argc, char **argv)
{
    using namespace review;
    if (argc != 4) {
        fprintf(stderr, "usage: standins-3 NUMBER ROOT CASE-FOLDER\n");
        return ExitCannotRun;
    }
    signal(SIGPIPE, SIG_IGN);
    const std::map<std::string, int (*)(const Surroundings &)> cases{
        {"11", foreignAnswer}, {"12", cutOffCallers}, {"13", longPartIds}, {"14", manyPromptParts}};
    const auto it = cases.find(argv[1]);
    if (it == cases.end()) {
        return ExitCannotRun;
    }
    Record record(std::string(argv[3]) + "/record.txt");
    char temporary[] = "/tmp/review-3-XXXXXX";
    if (mkdtemp(temporary) == nullptr) {
        return ExitCannotRun;
    }
    const char *trouble = getenv("TROUBLE");
    const Surroundings surroundings{argv[2], temporary, trouble == nullptr || std::string(trouble) != "0", record};
    int code = ExitCannotRun;
    try {
        code = it->second(surroundings);
    } catch (const CannotRun &error) {
        record.result("could not run: " + error.reason);
    } catch (const std::exception &error) {
        record.result(std::string("could not run: ") + error.what());
    }
    std::error_code ignored;
    std::filesystem::remove_all(temporary, ignored);
    return code;
}
