#pragma once

#include <string>
#include <vector>

namespace marjorampath::test
{

/// The head of an answer whose status line and added lines are given, and its body
inline std::string answer_of(std::string const& status_line, std::string const& lines,
                             std::string const& body = "Content-Length: 4\r\n\r\nbody")
{
    return status_line + "\r\nX-Attempt-Id: 9c41\r\nX-Server-Seal: s\r\n" + lines + body;
}

/// Answers of an endpoint in trouble that are no answers by RFC 9110 and RFC 9112
inline std::vector<std::string> invalid_answers()
{
    using namespace std::string_literals;
    std::vector<std::string> answers;
    for (auto const* line : {"HTTP/1.1 000 ",
                             "HTTP/1.1 000 OK",
                             "HTTP/1.1 099 OK",
                             "HTTP/1.1 600 OK",
                             "HTTP/1.1 999 OK",
                             "HTTP/1.1 20 OK",
                             "HTTP/1.1 2000 OK",
                             "HTTP/1.1 2x0 OK",
                             "HTTP/1.1 -20 OK",
                             "HTTP/1.1  200 OK",
                             "HTTP/1.1 101 Switching Protocols",
                             "HTTP/1.2 200 OK",
                             "HTTP/2.0 200 OK",
                             "HTTP/0.9 200 OK",
                             "http/1.1 200 OK",
                             "HTTP/1.1\t200 OK",
                             "HTTP/1.1 200\tOK",
                             "HTTP/1.1 200 O\x01K",
                             "HTTP/1.1 200 O\x7fK",
                             "ICY 200 OK"})
        answers.push_back(answer_of(line, {}));
    for (auto const& line :
         {"X Name: v"s, "X-Name : v"s, " X-Name: v"s, "X\x01Name: v"s, "X\x7fName: v"s,
          "X\0Name: v"s, "X\tName: v"s, "X\xc3\xa4: v"s, "X-Name"s, ": v"s, "X(Name): v"s,
          "X-Name: v\x01w"s, "X-Name: v\0w"s, "X-Name: v\x7f"s, "X-Name: v\rw"s,
          "X-Name: v\nX-Other: w"s, "X-Name: v\r\n folded"s, "X-Name: v\r\n\tfolded"s})
        answers.push_back(answer_of("HTTP/1.1 200 OK", line + "\r\n"));
    auto const doubled_coding =
        "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n"s +
        "4\r\nbody\r\n0\r\n\r\n";
    for (auto const* framing :
         {"Content-Length: 4\r\nContent-Length: 4\r\n\r\nbody",
          "Content-Length: 4\r\nContent-Length: 5\r\n\r\nbody",
          "Content-Length: 4, 4\r\n\r\nbody",
          "Content-Length: +4\r\n\r\nbody",
          "Content-Length: -4\r\n\r\nbody",
          "Content-Length: 0x4\r\n\r\nbody",
          "Content-Length:\r\n\r\nbody",
          "Content-Length: 99999999999999999999\r\n\r\nbody",
          "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
          "Transfer-Encoding: gzip\r\n\r\nbody",
          "Transfer-Encoding: gzip, chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
          "Transfer-Encoding: chunked, gzip\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
          "Transfer-Encoding: chunked, chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
          "Transfer-Encoding: identity\r\n\r\nbody",
          "Transfer-Encoding: chunked;q=1\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
          doubled_coding.c_str(),
          "Transfer-Encoding:\r\n\r\nbody",
          "Transfer-Encoding: chunked\r\n\r\n+4\r\nbody\r\n0\r\n\r\n",
          "Transfer-Encoding: chunked\r\n\r\n4 x\r\nbody\r\n0\r\n\r\n",
          "Transfer-Encoding: chunked\r\n\r\n10000000000000004\r\nbody\r\n0\r\n\r\n"})
        answers.push_back(answer_of("HTTP/1.1 200 OK", {}, framing));
    answers.push_back(
        answer_of("HTTP/1.0 200 OK", {},
                  "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n"));
    answers.push_back(answer_of("HTTP/1.1 204 No Content", {}));
    return answers;
}

/// Interim answers
inline std::string const interim_answers =
    "HTTP/1.1 100 Continue\r\n\r\n"
    "HTTP/1.1 103 Early Hints\r\nX-Early: 1\r\nContent-Length: 7\r\n\r\n"
    "HTTP/1.1 199 Unknown\r\n\r\n";

/// A number of further interim answers
inline std::string repeated_interim_answers(unsigned count)
{
    std::string answers;
    for (unsigned sent = 0; sent < count; ++sent)
        answers += "HTTP/1.1 100 Continue\r\n\r\n";
    return answers;
}

} // namespace marjorampath::test
