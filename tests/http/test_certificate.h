/// @file
/// A self-signed certificate for 127.0.0.1 in files that are removed with it.
#pragma once

#include <openssl/evp.h>
#include <openssl/pem.h>
#include <openssl/x509v3.h>
#include <unistd.h>

#include <cstdio>
#include <filesystem>
#include <string>

#include "src/http/tls.h"

namespace graniteseam::test {

class TestCertificate {
 public:
  explicit TestCertificate(const std::string& name)
      : base_((std::filesystem::temp_directory_path() /
               ("graniteseam-" + name + "-" + std::to_string(::getpid())))
                  .string()) {
    Write();
  }
  ~TestCertificate() {
    std::filesystem::remove(certificate());
    std::filesystem::remove(key());
  }
  TestCertificate(const TestCertificate&) = delete;
  TestCertificate& operator=(const TestCertificate&) = delete;

  std::string certificate() const { return base_ + ".pem"; }
  std::string key() const { return base_ + ".key"; }
  http::TlsFiles ServerFiles() const { return {certificate(), key(), ""}; }
  http::TlsFiles ClientFiles() const { return {"", "", certificate()}; }

  /// Replaces key and certificate by new ones.
  void Write() const {
    EVP_PKEY* const pair = EVP_EC_gen("P-256");
    X509* const x509 = X509_new();
    X509_set_version(x509, 2);
    ASN1_INTEGER_set(X509_get_serialNumber(x509), 1);
    X509_gmtime_adj(X509_getm_notBefore(x509), -3600);
    X509_gmtime_adj(X509_getm_notAfter(x509), 86'400);
    X509_set_pubkey(x509, pair);
    X509_NAME* const subject = X509_get_subject_name(x509);
    X509_NAME_add_entry_by_txt(subject, "CN", MBSTRING_ASC,
                               reinterpret_cast<const unsigned char*>("test"), -1, -1, 0);
    X509_set_issuer_name(x509, subject);
    X509_EXTENSION* const names =
        X509V3_EXT_conf_nid(nullptr, nullptr, NID_subject_alt_name, "IP:127.0.0.1");
    X509_add_ext(x509, names, -1);
    X509_sign(x509, pair, EVP_sha256());
    FILE* const key_file = std::fopen(key().c_str(), "w");
    PEM_write_PrivateKey(key_file, pair, nullptr, nullptr, 0, nullptr, nullptr);
    std::fclose(key_file);
    FILE* const certificate_file = std::fopen(certificate().c_str(), "w");
    PEM_write_X509(certificate_file, x509);
    std::fclose(certificate_file);
    X509_EXTENSION_free(names);
    X509_free(x509);
    EVP_PKEY_free(pair);
  }

 private:
  std::string base_;
};

}  // namespace graniteseam::test
